package transport

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/egretreach/egretreach/internal/link/identity"
	"github.com/egretreach/egretreach/internal/link/message"
)

const codeCanceled quic.StreamErrorCode = 1

const readBufferBytes = 4 << 10

// Stream is one call between two processes. Send may be called concurrently, and also
// while one other goroutine receives.
type Stream struct {
	stream *quic.Stream
	reader *bufio.Reader
	conn   *Conn
	// canceled ends when this process stops reading.
	canceled context.Context
	cancel   context.CancelFunc
	// readDeadline is that of the wait for the memory of a large frame.
	readDeadline time.Time
	// hasReceived is set once a frame was received. The receive window of the stream may have grown then.
	hasReceived bool
	// receipts counts the answer until the peer has received it. It is nil if this process has started the call.
	receipts *receipts
	// answered is set by Answer.
	answered bool

	sendMu sync.Mutex
	// buf is the buffer of small frames.
	buf []byte
}

func newStream(s *quic.Stream, conn *Conn) *Stream {
	ctx, cancel := context.WithCancel(context.Background())
	return &Stream{stream: s, reader: bufio.NewReaderSize(s, readBufferBytes), conn: conn, canceled: ctx, cancel: cancel}
}

// Peer returns the identity in the peer's certificate.
func (s *Stream) Peer() identity.Identity { return s.conn.peer }

// Send writes one frame. It blocks while the peer's receive window is full.
func (s *Stream) Send(m message.Message) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	buf, err := message.Append(s.buf[:0], m)
	if err != nil {
		return err
	}
	if cap(buf) <= message.SmallFrameBytes {
		s.buf = buf
	}
	_, err = s.stream.Write(buf)
	return err
}

// Answer sends the last frame of a call that the peer has started, and closes this side for sending. The peer closes its side once it has
// received the frame; until then Socket.Drain waits. The handler must return after it, and no other goroutine may receive then.
func (s *Stream) Answer(m message.Message) error {
	s.receipts.begin()
	err := s.Send(m)
	if err == nil {
		err = s.CloseSend()
	}
	if err != nil {
		s.receipts.end(!isLinkLost(err))
		return err
	}
	s.answered = true
	return nil
}

// awaitReceipt waits until the peer has closed its side of the stream, or the link has ended. It drops what the peer still sends.
func (s *Stream) awaitReceipt() {
	if !s.answered {
		return
	}
	_ = s.stream.SetReadDeadline(time.Time{})
	_, err := io.Copy(io.Discard, s.reader)
	s.receipts.end(!isLinkLost(err))
}

// isLinkLost reports whether a read or write of a stream has failed because its link has ended.
func isLinkLost(err error) bool { return errors.Is(err, net.ErrClosed) }

// Receive reads one frame. It returns io.EOF after the peer has closed its side. A large frame waits, unread, while the large frames
// of other calls take the memory that the link has for them. If too many wait it returns ErrFramesWaiting.
func (s *Stream) Receive() (message.Message, error) {
	m, err := message.ReadReserved(s.reader, s.reserve)
	s.hasReceived = true
	return m, err
}

// reserve reserves the memory of a large frame. The wait for it ends as a read of the stream would end.
func (s *Stream) reserve(bytes int) (release func(), err error) {
	ctx, window := s.canceled, initialStreamWindow
	if s.hasReceived {
		window = maxStreamWindow
	}
	if !s.readDeadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadlineCause(ctx, s.readDeadline, os.ErrDeadlineExceeded)
		defer cancel()
	}
	return s.conn.reserve(ctx, bytes, window)
}

// Await waits until a frame begins to arrive. Unlike Receive it may be called again after its deadline has passed, as
// it consumes nothing.
func (s *Stream) Await() error {
	_, err := s.reader.Peek(1)
	return err
}

// SetReadDeadline sets the deadline of the next calls of Await and Receive. A zero time means none.
func (s *Stream) SetReadDeadline(t time.Time) error {
	s.readDeadline = t
	return s.stream.SetReadDeadline(t)
}

// CloseSend closes this side for sending. The peer receives io.EOF.
func (s *Stream) CloseSend() error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	return s.stream.Close()
}

// Close ends the call after what was sent, and stops reading.
func (s *Stream) Close() {
	_ = s.CloseSend()
	s.cancel()
	s.stream.CancelRead(codeCanceled)
}

// Cancel aborts the call in both directions. Data that was sent may be lost.
func (s *Stream) Cancel() {
	s.cancel()
	s.stream.CancelWrite(codeCanceled)
	s.stream.CancelRead(codeCanceled)
}

// CancelOn calls Cancel when ctx ends. The returned function stops that.
func (s *Stream) CancelOn(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, s.Cancel)
}
