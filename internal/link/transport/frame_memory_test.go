package transport

import (
	"context"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/host"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/standin/memnet"
)

const (
	// largestBody is the length of a body whose frame is of nearly the largest size.
	largestBody = message.MaxFrameBytes - 64
	// maxTransfer is the time in which all that fits has arrived.
	maxTransfer = 10 * time.Minute
)

// largeFrames is a server that receives large frames, and the links of its peers.
type largeFrames struct {
	t       *testing.T
	network memnet.Network
	open    func(address string) *Socket
	// received gets the length of each body that the server has received, and -1 for a stream that ended before.
	received chan int
}

// withLargeFrames runs test in virtual time.
func withLargeFrames(t *testing.T, test func(f *largeFrames)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		authority := newAuthority(t)
		f := &largeFrames{t: t, received: make(chan int, 1<<10)}
		f.open = func(address string) *Socket {
			packetConn, err := f.network.Listen(address)
			require.NoError(t, err)
			return New(packetConn, issue(t, authority, host.RoleControl, time.Hour), Options{})
		}
		server := f.open(serverAddress)
		defer func() { _ = server.Close() }()
		go func() { _ = server.Serve(ctx, f.handle) }()
		test(f)
	})
}

// next returns the length of the next body that the server has received.
func (f *largeFrames) next() int {
	select {
	case body := <-f.received:
		return body
	case <-time.After(maxTransfer):
		require.FailNow(f.t, "no frame ends")
		return 0
	}
}

func (f *largeFrames) handle(_ context.Context, s *Stream) {
	m, err := s.Receive()
	if err != nil {
		f.received <- -1
		return
	}
	f.received <- len(m.(*message.Quorum).Body)
	_ = s.Send(&message.Ack{})
}

// dial returns a link from a host of its own. The returned function closes it.
func (f *largeFrames) dial(address string) (*Conn, func()) {
	socket := f.open(address)
	conn, err := socket.Dial(f.t.Context(), serverAddress)
	require.NoError(f.t, err)
	return conn, func() { _ = socket.Close() }
}

// begin sends the first bytes of a frame on a stream of its own, as far as the server takes them.
func (f *largeFrames) begin(conn *Conn, frame []byte, bytes int) *Stream {
	stream, err := conn.Open(f.t.Context())
	require.NoError(f.t, err)
	go func() { _, _ = stream.stream.Write(frame[:bytes]) }()
	return stream
}

// requireServed sends a whole frame and waits for its answer.
func (f *largeFrames) requireServed(conn *Conn, body int) {
	stream, err := conn.Open(f.t.Context())
	require.NoError(f.t, err)
	require.NoError(f.t, stream.Send(&message.Quorum{Body: make([]byte, body)}))
	require.NoError(f.t, stream.SetReadDeadline(time.Now().Add(maxTransfer)))
	answer, err := stream.Receive()
	require.NoError(f.t, err)
	require.Equal(f.t, &message.Ack{}, answer)
	require.Equal(f.t, body, f.next())
	stream.Close()
}

func quorumFrame(t *testing.T, body int) []byte {
	frame, err := message.Append(nil, &message.Quorum{Body: make([]byte, body)})
	require.NoError(t, err)
	return frame
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC() // The first one leaves what pools hold.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestIncompleteFramesOfALinkStayWithinItsMemory guards against a faulty peer that begins large frames on many streams of its link,
// ends none, and by that takes all memory of a process or holds up the link of another peer.
func TestIncompleteFramesOfALinkStayWithinItsMemory(t *testing.T) {
	const (
		frames = 64
		sent   = 4 << 20
		// bound is the sum of the frames under way and of the receive windows, and as much for what was allocated besides.
		bound = 2 * (4*message.MaxFrameBytes + connectionWindow)
	)
	withLargeFrames(t, func(f *largeFrames) {
		faulty, closeFaulty := f.dial("10.0.0.2:7000")
		defer closeFaulty()
		sound, closeSound := f.dial("10.0.0.3:7000")
		defer closeSound()
		frame := quorumFrame(t, largestBody)
		before := heapInUse()
		for range frames {
			f.begin(faulty, frame, sent)
		}
		time.Sleep(maxTransfer)
		synctest.Wait()
		held := heapInUse() - before
		t.Logf("%d MiB are held", held>>20)
		require.LessOrEqual(t, held, int64(bound))
		f.requireServed(sound, largestBody)
		f.requireServed(faulty, 1<<10)
		runtime.KeepAlive(frame)
	})
}

// TestManyLargeFramesAtOnceArrive guards against frames that wait for memory for good, or end, where a sound peer sends many at once.
func TestManyLargeFramesAtOnceArrive(t *testing.T) {
	for name, c := range map[string]struct{ frames, body int }{
		"largest": {6, largestBody},
		"1 MiB":   {48, 1 << 20},
		"100 KiB": {400, 100 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			withLargeFrames(t, func(f *largeFrames) {
				conn, closeConn := f.dial("10.0.0.2:7000")
				defer closeConn()
				frame := quorumFrame(t, c.body)
				for range c.frames {
					f.begin(conn, frame, len(frame))
				}
				for range c.frames {
					require.Equal(t, c.body, f.next())
				}
			})
		})
	}
}

// TestFramesUnderWayEndBesideManyThatWait guards against streams whose frames wait and fill the receive window of the link, so that
// the frames under way never end. Those that can't wait are refused.
func TestFramesUnderWayEndBesideManyThatWait(t *testing.T) {
	const underWay, waiting = 4, 600
	withLargeFrames(t, func(f *largeFrames) {
		conn, closeConn := f.dial("10.0.0.2:7000")
		defer closeConn()
		frame := quorumFrame(t, largestBody)
		var streams []*Stream
		for range underWay {
			streams = append(streams, f.begin(conn, frame, 1<<20))
		}
		time.Sleep(maxTransfer)
		for range waiting {
			f.begin(conn, frame, 1<<20)
		}
		time.Sleep(maxTransfer)
		synctest.Wait()
		refused := len(f.received)
		for range refused {
			require.Equal(t, -1, <-f.received)
		}
		require.Positive(t, refused)
		require.Less(t, refused, waiting, "some wait")
		for _, s := range streams {
			go func() { _, _ = s.stream.Write(frame[1<<20:]) }()
		}
		for range underWay {
			require.Equal(t, largestBody, f.next())
		}
	})
}

// TestWaitOfALargeFrameEnds guards against a call that waits for the memory of a frame after its deadline, its cancellation or the end
// of its link.
func TestWaitOfALargeFrameEnds(t *testing.T) {
	for name, c := range map[string]struct {
		end       func(s *Stream)
		wantError string
	}{
		"deadline": {func(*Stream) { time.Sleep(2 * time.Second) }, "i/o timeout"},
		"cancel":   {(*Stream).Cancel, "context canceled"},
		"close":    {(*Stream).Close, "context canceled"},
		"link":     {func(s *Stream) { s.conn.Close() }, "Application error"},
	} {
		t.Run(name, func(t *testing.T) {
			withLargeFrames(t, func(f *largeFrames) {
				conn, closeConn := f.dial("10.0.0.2:7000")
				defer closeConn()
				conn.memory.free.TryAcquire(frameMemoryBytes)
				stream, err := conn.Open(t.Context())
				require.NoError(t, err)
				require.NoError(t, stream.SetReadDeadline(time.Now().Add(time.Second)))
				ended := make(chan error, 1)
				go func() {
					_, err := stream.reserve(message.MaxFrameBytes)
					ended <- err
				}()
				synctest.Wait()
				require.Empty(t, ended, "the frame waits")
				c.end(stream)
				synctest.Wait()
				require.Len(t, ended, 1)
				require.ErrorContains(t, <-ended, c.wantError)
				require.Zero(t, conn.memory.waitingWindow)
			})
		})
	}
}

// TestStreamKeepsNoLargeFrame guards against a process that keeps the largest frame that it has sent on each of its streams, such as a
// configuration for each gateway, for as long as the stream is open.
func TestStreamKeepsNoLargeFrame(t *testing.T) {
	const streams = 16
	withLargeFrames(t, func(f *largeFrames) {
		conn, closeConn := f.dial("10.0.0.2:7000")
		defer closeConn()
		before := heapInUse()
		var open []*Stream
		for range streams {
			stream, err := conn.Open(f.t.Context())
			require.NoError(f.t, err)
			require.NoError(f.t, stream.Send(&message.Quorum{Body: make([]byte, largestBody)}))
			require.Equal(f.t, largestBody, f.next())
			open = append(open, stream)
		}
		require.LessOrEqual(f.t, heapInUse()-before, int64(message.MaxFrameBytes))
		for _, stream := range open {
			stream.Close()
		}
	})
}
