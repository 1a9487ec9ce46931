package httpserver

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"golang.org/x/sys/unix"
)

type callerKey struct{}

// caller is the connection of a request.
type caller struct {
	conn net.Conn
	// cancel ends the context of the request.
	cancel context.CancelFunc
}

type connKey struct{}

// withConn stores a connection in the context of its requests. It is the ConnContext of an http.Server.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Conn returns the connection of a request from its context as the listener has accepted it, or nil if the request is not from a Server.
func Conn(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	if limited, ok := c.(*limitedConn); ok {
		return limited.Conn
	}
	return c
}

// withCaller calls serve with a request whose context CallerLeft can end.
func withCaller(serve http.Handler, w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	ctx = context.WithValue(ctx, callerKey{}, &caller{conn: Conn(ctx), cancel: cancel})
	serve.ServeHTTP(w, r.WithContext(ctx))
}

// CallerLeft reports whether ctx, which belongs to a request, has ended, or the caller has closed its connection, in which case it
// ends the context of the request. It returns false for work that does not depend on a caller.
//
// It asks the operating system: the goroutine of net/http that waits for the end of the connection may not have run yet in a busy
// process. Data that has not been read hides the end of the connection.
func CallerLeft(ctx context.Context) bool {
	c, ok := ctx.Value(callerKey{}).(*caller)
	switch {
	case !ok:
		return false
	case ctx.Err() != nil:
		return true
	case !isClosedByPeer(c.conn):
		return false
	}
	c.cancel()
	return true
}

// isClosedByPeer reports whether the next read of a connection would return its end. It returns false for a connection that is no
// socket.
func isClosedByPeer(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = n == 0 && err == nil
	})
	return err == nil && closed
}
