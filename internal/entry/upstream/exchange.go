package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// writeTimeout bounds the writing of a request's header and inline body.
	writeTimeout = 1500 * time.Millisecond
	// maxInlineBody is the size up to which a body is written before the wait for the response
	// begins.
	maxInlineBody = 32 << 10
)

// Request is a request to an endpoint.
type Request struct {
	Method string
	// Target is the path and query, which are sent exactly as they are.
	Target string
	Host   string
	// Header holds every header but Host, Content-Length and Transfer-Encoding.
	Header http.Header
	Body   []byte
	// HasBody says that there is a body, which may be empty.
	HasBody bool
	// NewConnection says not to reuse an idle connection.
	NewConnection bool
}

// encode appends the request line and the headers to buf.
func (r *Request) encode(buf *bytes.Buffer) {
	buf.WriteString(r.Method)
	buf.WriteByte(' ')
	buf.WriteString(r.Target)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(r.Host)
	buf.WriteString("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			buf.WriteString(name)
			buf.WriteString(": ")
			buf.WriteString(v)
			buf.WriteString("\r\n")
		}
	}
	if r.HasBody {
		buf.WriteString("Content-Length: ")
		buf.WriteString(strconv.Itoa(len(r.Body)))
		buf.WriteString("\r\n")
	}
	buf.WriteString("\r\n")
}

// WaitPolicy decides whether a request is sent, and how long to wait for data from an endpoint, at any point of its response. The
// context of the exchange bounds the whole of it.
type WaitPolicy struct {
	// CheckInterval is the time between two calls of KeepWaiting while no data arrives.
	CheckInterval time.Duration
	// NextCheck returns a shorter time until the next call of KeepWaiting. It may be nil.
	NextCheck func() time.Duration
	// KeepWaiting reports whether to wait longer.
	KeepWaiting func() bool
	// BeforeSend is called when there is a connection, immediately before the request is written. If it returns an error the request isn't
	// sent. It may be nil.
	BeforeSend func() error
	// Unwanted reports whether the response is no longer needed, which ends the wait as well. It may be nil.
	Unwanted func() bool
}

// interval returns the time until the next call of KeepWaiting.
func (w WaitPolicy) interval() time.Duration {
	if w.NextCheck == nil {
		return w.CheckInterval
	}
	return min(w.CheckInterval, w.NextCheck())
}

// Exchange is a request to an endpoint and its response. It must be closed.
type Exchange struct {
	pool *Pool
	conn *conn
	stop func() bool
	// Response holds the status and headers of the response. The body is read from the
	// Exchange.
	Response *http.Response
	// CheckEnd is called when a body with FramingClose has ended with its connection. An error says that it is
	// incomplete. It may be nil.
	CheckEnd func() error
	// upload writes a long body. It is nil for an inline body.
	upload    *upload
	bodyEnded bool
	// held is what the exchange has reserved, in bytes.
	held int
}

// Do sends a request and returns once the header of the response has arrived. Its errors are
// ErrNotSent, ErrAbandoned and ErrInterrupted. After the last two the request may have run or
// still be running.
func (p *Pool) Do(ctx context.Context, address string, r *Request, wait WaitPolicy) (*Exchange, error) {
	c, err := p.get(ctx, address, r.NewConnection)
	if err != nil {
		return nil, ErrNotSent{Cause: err}
	}
	if err := beforeSend(wait); err != nil {
		_ = c.Close()
		return nil, ErrNotSent{Cause: err}
	}
	c.wait = wait
	x := &Exchange{pool: p, conn: c}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := x.do(r); err != nil {
		x.abort()
		return nil, err
	}
	return x, nil
}

func beforeSend(wait WaitPolicy) error {
	if wait.BeforeSend == nil {
		return nil
	}
	return wait.BeforeSend()
}

func (x *Exchange) do(r *Request) error {
	if err := x.send(r); err != nil {
		return x.interrupted(err)
	}
	response, err := x.conn.readResponse(r.Method, x.Reserve) //nolint:bodyclose // The connection is closed or kept in place of the body.
	if err != nil {
		return x.waitFailed(err)
	}
	if err := x.reserveHead(response.Header); err != nil {
		return x.interrupted(err)
	}
	x.Response = response
	return nil
}

// waitFailed returns the error of Do or Read for a failed read.
func (x *Exchange) waitFailed(err error) error {
	if IsErrAbandoned(err) {
		return err
	}
	return x.interrupted(asUnexpectedEOF(err))
}

func (x *Exchange) interrupted(cause error) error {
	return ErrInterrupted{Cause: cause, Reused: x.conn.reused}
}

// send writes the request. It writes a long body in the background.
func (x *Exchange) send(r *Request) error {
	var head bytes.Buffer
	r.encode(&head)
	if err := x.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if len(r.Body) <= maxInlineBody {
		head.Write(r.Body)
		_, err := x.conn.Write(head.Bytes())
		return err
	}
	if _, err := x.conn.Write(head.Bytes()); err != nil {
		return err
	}
	var err error
	x.upload, err = startUpload(x.conn, r.Body)
	return err
}

// Read reads the response's body. It returns io.EOF at the end of a complete body, an
// ErrInterrupted if the body is cut short or may be, and an ErrAbandoned if the wait policy ends the wait.
func (x *Exchange) Read(buf []byte) (int, error) {
	n, err := x.Response.Body.Read(buf)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		return n, x.endBody()
	default:
		return n, x.waitFailed(err)
	}
}

// endBody returns the error of a read at the end of the body.
func (x *Exchange) endBody() error {
	if !x.bodyEnded && x.Framing() == FramingClose {
		if err := x.checkClose(); err != nil {
			return x.interrupted(err)
		}
	}
	x.bodyEnded = true
	return io.EOF
}

// checkClose returns an error if the end of the connection may not be the end of the body.
func (x *Exchange) checkClose() error {
	if err := x.checkReceipt(); err != nil {
		return ErrRequestNotReceived{Cause: err}
	}
	if x.CheckEnd == nil {
		return nil
	}
	return x.CheckEnd()
}

// Reused reports whether the connection carried an earlier request.
func (x *Exchange) Reused() bool { return x.conn.served }

// Close ends the exchange. It keeps the connection for reuse if the body was read to its end
// and the endpoint does not close the connection.
func (x *Exchange) Close() {
	x.release()
	if !x.stop() || !x.reusable() {
		x.abort()
		return
	}
	if err := x.conn.SetDeadline(time.Time{}); err != nil {
		x.abort()
		return
	}
	x.conn.served = true
	x.pool.put(x.conn, keepAliveTimeout(x.Response.Header))
}

// reusable reports whether the connection can carry another request.
func (x *Exchange) reusable() bool {
	if !x.bodyEnded || x.Response == nil || x.Response.Close || x.conn.reader.Buffered() > 0 {
		return false
	}
	return x.upload == nil || x.upload.isComplete()
}

// abort closes the connection.
func (x *Exchange) abort() {
	x.release()
	x.stop()
	_ = x.conn.Close()
}
