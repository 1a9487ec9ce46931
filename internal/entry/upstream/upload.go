package upstream

import (
	"net"
	"os"
	"time"

	"github.com/pkg/errors"
)

// upload writes the body of a request in the background, since an endpoint may respond before it has read a long body.
type upload struct {
	conn net.Conn
	// done is closed once the write has ended, with its error in err.
	done chan struct{}
	err  error
}

// startUpload starts to write a body, without a deadline.
func startUpload(c net.Conn, body []byte) (*upload, error) {
	if err := c.SetWriteDeadline(time.Time{}); err != nil {
		return nil, err
	}
	u := &upload{conn: c, done: make(chan struct{})}
	go func() {
		defer close(u.done)
		_, u.err = c.Write(body)
	}()
	return u, nil
}

// isComplete reports whether the body has been written whole.
func (u *upload) isComplete() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// settle waits until deadline for the end of the write, and then stops it. It returns an error if the endpoint has closed or reset the
// connection, and nil if it may still read.
//
// The operating system reports a reset only once. If the write gets it, a read gets a plain end of file.
func (u *upload) settle(deadline time.Time) error {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-u.done:
		return u.err
	case <-timer.C:
	}
	return u.stop()
}

// stop ends the write, and returns its error unless it is due to the stop.
func (u *upload) stop() error {
	if err := u.conn.SetWriteDeadline(time.Now()); err != nil {
		return err
	}
	<-u.done
	if errors.Is(u.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return u.err
}
