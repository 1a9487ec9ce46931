package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/platform/standin"
)

const (
	// aheadCallers and bodyCallers are the numbers of these callers per gateway.
	aheadCallers = 4
	bodyCallers  = 3
	// receiveBuffer is the size of their receive buffers in bytes. The kernel raises it to its minimum.
	receiveBuffer = 1 << 10
	// Their request IDs end with several idUnits, so that responses are larger than a receive buffer. Reports leave them out. The body of
	// a plain response has the ID many times.
	idUnit     = "xxxxxxxxxx"
	longIDEnd  = 30
	shortIDEnd = 10
	// slowReadSize is the size of a slow read in bytes. streamReadPause and plainReadPause are the pauses before one. Streams of such
	// callers are read more slowly than they come, so that a part is still on its way when their endpoint has finished.
	slowReadSize    = 512
	streamReadPause = 90 * time.Millisecond
	plainReadPause  = 50 * time.Millisecond
	// minAheadEvents and maxAheadEvents bound the events of a stream that is read slowly. One in longAheadRatio has longAheadEvents, so that it
	// goes on after the time for which a gateway that stops accepts requests.
	minAheadEvents  = 15
	maxAheadEvents  = 30
	longAheadEvents = 70
	longAheadRatio  = 3
	// A body comes in bodyParts parts, with a pause of up to maxPartPause before each.
	bodyParts    = 3
	maxPartPause = 500 * time.Millisecond
	// maxBodySize bounds a body in bytes, and unknownBodySize is that of a body for a path without a route: more than net/http reads
	// behind an early response.
	maxBodySize     = 64 << 10
	unknownBodySize = 640 << 10
	// unknownRatio is the number of requests with bodies in parts of which one has a path without a route.
	unknownRatio = 4
	// closeRatio is the number of the others of which one asks for the end of the connection.
	closeRatio = 4
	// lineBreak is what some callers send after a body.
	lineBreak = "\r\n"
)

// slowReader reads little at a time, after a pause. The zero pause reads at once.
type slowReader struct {
	from  io.Reader
	pause time.Duration
}

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	if s.pause == 0 {
		return s.from.Read(p)
	}
	time.Sleep(s.pause)
	return s.from.Read(p[:min(len(p), slowReadSize)])
}

// connState says what a response on a connection means for the requests after it.
type connState int

const (
	// connOpen is the state until a response ends the connection.
	connOpen connState = iota
	// connEnding is the state after a complete response that ends the connection, connBroken after one that is missing or not complete.
	connEnding
	connBroken
	// connGivenUp is the state after a response for which the caller did not wait any longer.
	connGivenUp
)

// connCaller is a caller that writes and reads its connections itself, for what net/http does not do.
type connCaller struct {
	*caller
	conn net.Conn
	// connOpenedAt is when conn was opened.
	connOpenedAt time.Time
	slow         *slowReader
	buffered     *bufio.Reader
	state        connState
	// turn is when the last response on the connection had ended.
	turn time.Time
}

// runConnCallers runs the selected ones of the callers with connections of their own until ctx ends.
func (t *testbed) runConnCallers(ctx context.Context, only faultKinds, seed uint64, running *sync.WaitGroup) {
	part := uint64(connCallerPart)
	start := func(kind faultKind, count int, exchange func(*connCaller, context.Context) bool) {
		for i := range count * gatewayCount {
			part++
			c := newConnCaller(fmt.Sprint(kind, i+1), t.gateways[i%gatewayCount], t, newRand(seed, part))
			if only.has(kind) {
				running.Go(func() { c.run(ctx, exchange) })
			}
		}
	}
	start(faultAhead, aheadCallers, (*connCaller).sendAhead)
	start(faultBody, bodyCallers, (*connCaller).sendInParts)
}

func newConnCaller(name string, g *process, t *testbed, rng *rand.Rand) *connCaller {
	c := newCaller(name, g, t, rng)
	c.idEnd = strings.Repeat(idUnit, longIDEnd)
	return &connCaller{caller: c}
}

// run uses one connection after the other, each until exchange returns false, until ctx ends.
func (c *connCaller) run(ctx context.Context, exchange func(*connCaller, context.Context) bool) {
	for ctx.Err() == nil {
		if err := c.open(ctx); err != nil {
			time.Sleep(connectPause)
			continue
		}
		for ctx.Err() == nil && exchange(c, context.WithoutCancel(ctx)) {
			time.Sleep(time.Duration(c.rng.ExpFloat64() * float64(callerPause)))
		}
		_ = c.conn.Close() // All that was sent on it has been checked.
	}
}

// open opens a connection with a small receive buffer.
func (c *connCaller) open(ctx context.Context) error {
	dialer := net.Dialer{Timeout: dialTimeout, Control: shrinkReceiveBuffer}
	conn, err := dialer.DialContext(ctx, "tcp", c.gateway.apiAddress())
	if err != nil {
		return errors.Wrap(err, "open connection")
	}
	c.use(conn)
	return nil
}

// shrinkReceiveBuffer gives a socket a small receive buffer. It is net.Dialer.Control.
func shrinkReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer) //nolint:gosec // A descriptor.
	})
	if err != nil {
		return err
	}
	return optionErr
}

// use makes conn the connection of the next requests.
func (c *connCaller) use(conn net.Conn) {
	c.conn, c.connOpenedAt, c.slow = conn, time.Now(), &slowReader{from: conn}
	c.buffered = bufio.NewReader(c.slow)
	c.state, c.turn = connOpen, time.Time{}
}

// write writes a request with a body. If that fails, the read of the response shows why.
func (c *connCaller) write(ctx context.Context, r *call) {
	c.limitWrite(r)
	request, err := c.compose(ctx, r, "body of "+r.id)
	if err == nil {
		err = request.Write(c.conn)
	}
	if err == nil {
		r.sent = time.Now()
	}
}

// limitWrite bounds the time to write a request, since a process that stands still reads nothing.
func (c *connCaller) limitWrite(r *call) {
	_ = c.conn.SetWriteDeadline(r.began.Add(r.deadline)) // A failure shows in the write.
}

// sendAhead sends a request for a stream and, while the response comes, another one. It reads the first response slowly, and checks both.
// It reports whether the connection goes on, also if a response has said that it ends.
func (c *connCaller) sendAhead(ctx context.Context) bool {
	events := minAheadEvents + c.rng.IntN(maxAheadEvents-minAheadEvents+1)
	if c.rng.IntN(longAheadRatio) == 0 {
		events = longAheadEvents
	}
	delay := time.Duration(c.rng.Int64N(int64(events) * int64(standin.EventGap)))
	c.gateway.streams.Add(1)
	defer c.gateway.streams.Add(-1)
	first := c.newCall(kindStream, events)
	c.write(ctx, first)
	next := make(chan *call, 1)
	go func() {
		time.Sleep(delay)
		second := c.newCall(kindStream, minAheadEvents)
		c.write(ctx, second)
		next <- second
	}()
	c.receive(first, streamReadPause)
	second := <-next
	_, second.before = c.testbed.recorder.ranOn(first.id)
	c.receive(second, 0)
	return c.state <= connEnding
}

// sendInParts sends a random request with a body in parts. It reports whether the connection goes on.
func (c *connCaller) sendInParts(ctx context.Context) bool {
	if c.rng.IntN(unknownRatio) == 0 {
		return c.sendBody(ctx, kindUnknown, unknownBodySize)
	}
	kind := "safe"
	if c.rng.IntN(2) == 0 {
		kind = kindUnsafe
	}
	return c.sendBody(ctx, kind, 1+c.rng.IntN(maxBodySize))
}

// sendBody sends a request with a body in parts, and reads the response slowly afterwards, also if it came before. It reports whether the
// connection goes on.
func (c *connCaller) sendBody(ctx context.Context, kind string, size int) bool {
	c.idEnd = strings.Repeat(idUnit, shortIDEnd)
	if kind == kindUnknown {
		c.idEnd = strings.Repeat(idUnit, longIDEnd)
	}
	r := c.newCall(kind, 0)
	request, err := c.compose(ctx, r, strings.Repeat("b", size))
	if err != nil {
		c.testbed.recorder.reportViolation("%v", err)
		return false
	}
	request.Close = kind != kindUnknown && c.rng.IntN(closeRatio) == 0
	var text bytes.Buffer
	_ = request.Write(&text) // Writing to a buffer doesn't fail.
	c.limitWrite(r)
	if c.writeParts(text.Bytes()) {
		r.sent = time.Now()
	}
	if c.rng.IntN(2) == 0 {
		_, _ = io.WriteString(c.conn, lineBreak) // If the connection has ended, the read shows it.
	}
	c.receive(r, plainReadPause)
	return c.state <= connEnding && kind != kindUnknown
}

// writeParts writes a text in parts, and reports whether all were written.
func (c *connCaller) writeParts(text []byte) bool {
	cut := 0
	for left := bodyParts; left > 0; left-- {
		end := len(text)
		if left > 1 {
			end = cut + c.rng.IntN(len(text)-cut)
		}
		if _, err := c.conn.Write(text[cut:end]); err != nil {
			return false
		}
		cut = end
		if left > 1 {
			time.Sleep(time.Duration(c.rng.Int64N(int64(maxPartPause))))
		}
	}
	return true
}

// receive reads and checks the response to a request, with a pause before each read.
func (c *connCaller) receive(r *call, pause time.Duration) {
	if c.state == connGivenUp {
		c.testbed.recorder.count("given up behind another request")
		return
	}
	r.connected, r.connOpenedAt, r.turn, r.afterEnd = true, c.connOpenedAt, c.turn, c.state != connOpen
	c.slow.pause = pause
	_ = c.conn.SetReadDeadline(time.Now().Add(r.deadline + responseSlack)) // A failure shows in the read.
	resp, err := http.ReadResponse(c.buffered, nil)
	r.ended = time.Now()
	if err != nil {
		c.state = stateAfter(err)
		c.checkMissing(r.exchange, err)
		return
	}
	defer resp.Body.Close()
	r.answered, r.lastData = true, r.ended
	if r.sent.IsZero() {
		r.sent = r.ended // An early response must be whole too.
	}
	if r.afterEnd {
		c.testbed.recorder.reportViolation("%s got a response from %s on a connection that had ended", r.id, c.gateway.name)
	}
	c.noteLeaving(r, resp)
	c.receiveBody(r, resp)
}

// receiveBody reads the body of a response and checks the response.
func (c *connCaller) receiveBody(r *call, resp *http.Response) {
	body, err := readTimed(resp.Body, &r.lastData)
	r.ended = time.Now()
	c.turn = r.ended
	switch {
	case err != nil:
		c.state = stateAfter(err)
	case resp.Close:
		c.state = connEnding
	}
	c.checkResponse(r, resp, body, err)
}

// stateAfter returns the state of a connection after an error.
func stateAfter(err error) connState {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return connGivenUp
	}
	return connBroken
}

// checkMissing records a request without a response. A gateway owes none on a connection that an earlier response has ended.
func (c *connCaller) checkMissing(e exchange, err error) {
	if e.afterEnd {
		c.testbed.checkIncomplete(c.gateway, e, err)
		return
	}
	c.checkNoResponse(e, err)
}
