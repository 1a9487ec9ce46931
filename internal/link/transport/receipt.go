package transport

import (
	"context"
	"fmt"
	"sync/atomic"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/egretreach/egretreach/internal/process/inflight"
	"github.com/egretreach/egretreach/internal/telemetry/event"
)

// ErrUnreceived is returned by Drain if it ends while peers have not received all answers.
type ErrUnreceived struct {
	Answers int
	Cause   error
}

func (e ErrUnreceived) Error() string {
	return fmt.Sprintf("%d answers were not received by their callers: %v", e.Answers, e.Cause)
}

// Unwrap returns the cause.
func (e ErrUnreceived) Unwrap() error { return e.Cause }

// UnreceivedAnswers returns the number of answers in the ErrUnreceived of err, or 0 if it has none.
func UnreceivedAnswers(err error) int {
	var e ErrUnreceived
	errors.As(err, &e)
	return e.Answers
}

// Drain waits until the peers have received all answers that were sent by Stream.Answer. A link that is closed before drops those that its
// peer has not read. It returns ErrUnreceived if ctx ends first.
func (s *Socket) Drain(ctx context.Context) error {
	select {
	case <-s.unreceived.WhenIdle():
		return nil
	case <-ctx.Done():
		return ErrUnreceived{Answers: s.unreceived.Count(), Cause: ctx.Err()}
	}
}

// Unreceived returns the number of answers that peers have not received.
func (s *Socket) Unreceived() int { return s.unreceived.Count() }

// receipts counts the answers on one link that its peer has not received.
type receipts struct {
	// all counts those of all links of the socket, own those of this one.
	all *inflight.Requests
	own inflight.Requests
	// lost counts the answers that the end of the link has cut.
	lost   atomic.Int64
	logger *log.Logger
}

func (r *receipts) begin() {
	r.all.Begin()
	r.own.Begin()
}

// end ends the wait for the receipt of one answer. received is false if the link has ended before.
func (r *receipts) end(received bool) {
	if !received {
		r.lost.Add(1)
	}
	r.own.End()
	r.all.End()
}

// logUnreceived logs the answers that the end of the link has cut, unless the peer has closed the link: it needs none of them.
func (c *Conn) logUnreceived() {
	<-c.Done()
	<-c.receipts.own.WhenIdle()
	cause := context.Cause(c.conn.Context())
	var closed *quic.ApplicationError
	if errors.As(cause, &closed) && closed.Remote {
		return
	}
	if lost := c.receipts.lost.Load(); lost > 0 {
		event.AnswersUnreceived.On(c.receipts.logger).Str("peer", c.peer.String()).Int64("answers", lost).Err(cause).Msg("")
	}
}
