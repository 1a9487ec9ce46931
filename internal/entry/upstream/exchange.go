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
	// headTimeout bounds an answer's head once its first byte has come.
	headTimeout = 2 * time.Second
	// pieceTimeout bounds the wait within one piece of a body.
	pieceTimeout = 1500 * time.Millisecond
	// inlineBody is the size up to which a body is written before the answer is awaited.
	inlineBody = 32 << 10
)

// Request is a request as the endpoint gets it.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	// Header holds every header but Host, Content-Length and Transfer-Encoding.
	Header http.Header
	Body   []byte
	// HasBody tells an empty body from none.
	HasBody bool
	// NewConnection asks for a new connection.
	NewConnection bool
}

// append writes the request in its wire form.
func (r *Request) append(buf *bytes.Buffer) {
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

// WaitPolicy says how an answer is awaited.
type WaitPolicy struct {
	// CheckInterval is the pace at which GoOn is asked while nothing comes.
	CheckInterval time.Duration
	// KeepWaiting says whether to wait on.
	KeepWaiting func() bool
}

// Exchange is one request under way at an endpoint. Close it when done.
type Exchange struct {
	pool *Pool
	conn *conn
	stop func() bool
	// Response is the head of the endpoint's answer.
	Response *http.Response
	wait     WaitPolicy
	// written is closed once a long body is out, with its error in writeErr.
	written  chan struct{}
	writeErr error
	ended    bool
}

// Do sends a request and returns when the head of its answer has come. Its errors are
// ErrNotSent, ErrAbandoned and ErrBroken; behind the last two the request may run.
func (p *Pool) Do(ctx context.Context, address string, r *Request, wait WaitPolicy) (*Exchange, error) {
	c, err := p.get(ctx, address, r.NewConnection)
	if err != nil {
		return nil, ErrNotSent{Cause: err}
	}
	x := &Exchange{pool: p, conn: c, wait: wait}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := x.do(r); err != nil {
		x.abort()
		return nil, err
	}
	return x, nil
}

func (x *Exchange) do(r *Request) error {
	if err := x.send(r); err != nil {
		return x.broken(err)
	}
	if err := x.conn.waitByte(x.wait.CheckInterval, x.wait.KeepWaiting); err != nil {
		return x.failed(err)
	}
	answer, err := x.conn.readHead(r.Method, headTimeout) //nolint:bodyclose // The connection is closed or kept in place of the body.
	if err != nil {
		return x.failed(err)
	}
	x.Response = answer
	return nil
}

func (x *Exchange) failed(err error) error {
	if IsErrAbandoned(err) {
		return err
	}
	return x.broken(unexpectedEnd(err))
}

func (x *Exchange) broken(cause error) error {
	return ErrInterrupted{Cause: cause, Reused: x.conn.used}
}

func (x *Exchange) send(r *Request) error {
	var head bytes.Buffer
	r.append(&head)
	if err := x.conn.SetWriteDeadline(time.Now().Add(pieceTimeout)); err != nil {
		return err
	}
	if len(r.Body) <= inlineBody {
		head.Write(r.Body)
		_, err := x.conn.Write(head.Bytes())
		return err
	}
	if _, err := x.conn.Write(head.Bytes()); err != nil {
		return err
	}
	// An endpoint may answer before it has read a long body.
	x.written = make(chan struct{})
	go func() {
		defer close(x.written)
		if x.writeErr = x.conn.SetWriteDeadline(time.Time{}); x.writeErr == nil {
			_, x.writeErr = x.conn.Write(r.Body)
		}
	}()
	return nil
}

// Read reads the answer's body. At its proper end it returns io.EOF; an answer that was
// cut short gives an ErrBroken, one that was waited for too long an ErrAbandoned.
func (x *Exchange) Read(buf []byte) (int, error) {
	if x.conn.reader.Buffered() == 0 && x.Response.ContentLength != 0 && !x.ended {
		err := x.conn.waitByte(x.wait.CheckInterval, x.wait.KeepWaiting)
		if err != nil && !errors.Is(err, io.EOF) {
			return 0, x.failed(err)
		}
	}
	if err := x.conn.SetReadDeadline(time.Now().Add(pieceTimeout)); err != nil && x.conn.reader.Buffered() == 0 {
		return 0, x.broken(err) // What has arrived before the end is still read.
	}
	n, err := x.Response.Body.Read(buf)
	if errors.Is(err, io.EOF) {
		x.ended = true
		return n, io.EOF
	}
	if err != nil {
		return n, x.broken(err)
	}
	return n, nil
}

// Close ends the exchange. Its connection is kept if the answer was read to its end and
// the endpoint keeps it too.
func (x *Exchange) Close() {
	if !x.stop() || !x.reusable() {
		x.abort()
		return
	}
	if err := x.conn.SetDeadline(time.Time{}); err != nil {
		x.abort()
		return
	}
	x.pool.put(x.conn, keepAliveOf(x.Response.Header))
}

func (x *Exchange) reusable() bool {
	if !x.ended || x.Response == nil || x.Response.Close || x.conn.reader.Buffered() > 0 {
		return false
	}
	if x.written == nil {
		return true
	}
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
		return false
	}
}

func (x *Exchange) abort() {
	x.stop()
	_ = x.conn.Close()
}
