package upstream

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// receiptTimeout is how long an endpoint that has ended its side of a connection may take to acknowledge the request. One that has closed
	// the connection resets it within a round trip; the timeout covers one retransmission as well.
	receiptTimeout = 300 * time.Millisecond
	// receiptCheckInterval is the time between two looks at what an endpoint has acknowledged.
	receiptCheckInterval = 5 * time.Millisecond
	// tcpClose is the state of a TCP connection that has been reset, in tcp_info.
	tcpClose = 7
)

// errReset is a reset that no read or write has returned.
var errReset = errors.New("connection reset by the endpoint")

// checkReceipt returns an error if an endpoint that has ended its side of the connection has closed or reset it before it received the whole
// request. Its response may be incomplete then. An endpoint that keeps its receiving side open may leave the rest unread.
func (x *Exchange) checkReceipt() error {
	deadline := time.Now().Add(receiptTimeout)
	if x.upload != nil {
		if err := x.upload.settle(deadline); err != nil {
			return err
		}
	}
	return awaitReceipt(x.conn.Conn, deadline)
}

// awaitReceipt waits until deadline for the acknowledgement of all that was written to a connection. It returns an error if the connection is
// reset before, and nil for one that is no socket.
func awaitReceipt(c net.Conn, deadline time.Time) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	for {
		isLast := !time.Now().Before(deadline) // Before the look: this process may be paused after it.
		s, err := sendStateOf(raw)
		switch {
		case err != nil:
			return err
		case s.unacknowledged == 0:
			return nil
		case s.isReset:
			return errReset
		case isLast:
			return nil
		}
		time.Sleep(receiptCheckInterval)
	}
}

// sendState is the state of the sending direction of a connection.
type sendState struct {
	// unacknowledged is what was written and the peer has not acknowledged, in bytes.
	unacknowledged int
	isReset        bool
}

func sendStateOf(raw syscall.RawConn) (sendState, error) {
	var s sendState
	var queueErr, infoErr error
	err := raw.Control(func(fd uintptr) {
		s.unacknowledged, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		var info *unix.TCPInfo
		if info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
			s.isReset = info.State == tcpClose
		}
	})
	if err == nil {
		err = queueErr
	}
	if err == nil {
		err = infoErr
	}
	return s, errors.Wrap(err, "state of the connection")
}
