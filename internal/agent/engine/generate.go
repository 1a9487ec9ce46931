package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/link/message"
)

const (
	readBufferBytes = 32 << 10
	// maxBatchBytes is the size of the text from which a TokenBatch is passed on even
	// if more tokens have arrived.
	maxBatchBytes = 16 << 10
)

// Result describes a generation that ran to its end.
type Result struct {
	// Length is the number of tokens of the whole answer, including those before the
	// resume offset.
	Length           uint64
	FinishReason     string
	PromptTokens     int
	CompletionTokens int
	CachedTokens     int
	// Rejected counts dropped events: those of another request, repeated ones and
	// those after the end.
	Rejected int
}

// TokenBatch holds the joined text of consecutive tokens. Offset is the offset of the
// first one in the answer.
type TokenBatch struct {
	Offset uint64
	Count  uint32
	Text   []byte
}

// Generate runs a generation and passes its tokens to emit. Tokens that have
// already arrived are joined into one call. Generate reads no further while emit
// blocks, so a slow receiver slows the engine down. Text is only valid until emit
// returns. An error of emit ends the generation and is returned as it is.
func (c *Client) Generate(ctx context.Context, d *message.Dispatch, emit func(TokenBatch) error) (Result, error) {
	g := d.Generate
	resp, err := c.postJSON(ctx, PathGenerate, GenerateRequest{
		RequestID: d.Ref.Request.String(), Attempt: uint32(d.Ref.Attempt),
		Replica: string(g.Replica), Fence: uint64(g.Fence), Path: g.Path, Adapter: g.Adapter,
		Priority: d.Priority, ResumeOffset: g.ResumeOffset, ResumeText: g.ResumeText, Body: g.Body,
	})
	if err != nil {
		return Result{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	r := eventReader{
		reader:    bufio.NewReaderSize(resp.Body, readBufferBytes),
		requestID: d.Ref.Request.String(), attempt: uint32(d.Ref.Attempt),
		nextOffset: g.ResumeOffset, emit: emit,
	}
	return r.run()
}

// eventReader reads the event stream of one generation and drops events that do not
// belong to it.
type eventReader struct {
	reader     *bufio.Reader
	requestID  string
	attempt    uint32
	nextOffset uint64
	emit       func(TokenBatch) error

	event   GenerateEvent
	pending TokenBatch
	result  Result
}

func (r *eventReader) run() (Result, error) {
	for {
		line, err := r.reader.ReadSlice('\n')
		if err != nil {
			_ = r.flush()
			return r.result, ErrResponseCut{Cause: unexpectedEOF(err)}
		}
		ended, err := r.handleLine(line)
		if err != nil || ended {
			return r.result, err
		}
		if !r.mayJoinMore() {
			if err := r.flush(); err != nil {
				return r.result, err
			}
		}
	}
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// mayJoinMore reports whether another whole line is buffered and may join the pending
// tokens.
func (r *eventReader) mayJoinMore() bool {
	if len(r.pending.Text) >= maxBatchBytes {
		return false
	}
	ready, _ := r.reader.Peek(r.reader.Buffered())
	return bytes.IndexByte(ready, '\n') >= 0
}

func (r *eventReader) handleLine(line []byte) (bool, error) {
	r.event = GenerateEvent{}
	if err := json.Unmarshal(line, &r.event); err != nil {
		return false, ErrResponseCut{Cause: errors.Wrap(err, "event")}
	}
	e := &r.event
	switch {
	case e.RequestID != r.requestID || e.Attempt != r.attempt, !e.End && e.Offset < r.nextOffset:
		r.result.Rejected++
		return false, nil
	case e.Offset > r.nextOffset || e.Offset < r.nextOffset:
		_ = r.flush()
		return false, ErrMissingTokens{Want: r.nextOffset, Got: e.Offset}
	case e.End:
		return true, r.finish(e)
	}
	r.appendToken(e)
	return false, nil
}

func (r *eventReader) appendToken(e *GenerateEvent) {
	if r.pending.Count == 0 {
		r.pending.Offset = e.Offset
	}
	r.pending.Count++
	r.pending.Text = append(r.pending.Text, e.Text...)
	r.nextOffset++
}

func (r *eventReader) flush() error {
	if r.pending.Count == 0 {
		return nil
	}
	tokens := r.pending
	r.pending = TokenBatch{Text: tokens.Text[:0]}
	return r.emit(tokens)
}

func (r *eventReader) finish(e *GenerateEvent) error {
	if err := r.flush(); err != nil {
		return err
	}
	r.result.Length = e.Offset
	r.result.FinishReason = e.FinishReason
	r.result.PromptTokens = e.PromptTokens
	r.result.CompletionTokens = e.CompletionTokens
	r.result.CachedTokens = e.CachedTokens
	r.result.Rejected += r.countBufferedLines()
	return nil
}

// countBufferedLines counts the buffered events after the end event.
func (r *eventReader) countBufferedLines() int {
	ready, _ := r.reader.Peek(r.reader.Buffered())
	return bytes.Count(ready, []byte{'\n'})
}
