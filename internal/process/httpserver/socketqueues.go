package httpserver

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketQueues is what the operating system holds of a connection.
type socketQueues struct {
	// unsent is what was written and the peer has not acknowledged, in bytes. The end of the sending direction counts as a byte.
	unsent int
	// unread is what has arrived and was not read, in bytes. If there is any, closing the connection resets it, which drops unsent.
	unread int
}

// queuesOf returns the queues of a connection, or false if it is no socket or the operating system doesn't tell.
func queuesOf(c net.Conn) (socketQueues, bool) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return socketQueues{}, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return socketQueues{}, false
	}
	var q socketQueues
	var unsentErr, unreadErr error
	err = raw.Control(func(fd uintptr) {
		q.unsent, unsentErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		q.unread, unreadErr = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	})
	return q, err == nil && unsentErr == nil && unreadErr == nil
}

// resetAtClose lets the close of a connection reset it, if it is a socket.
func resetAtClose(c net.Conn) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { // A connection that has ended needs none.
		_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
}
