package logging

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// stuckReader is a writer whose reader has stopped reading.
type stuckReader struct {
	released chan struct{}
	mu       sync.Mutex
	got      bytes.Buffer
}

func (s *stuckReader) Write(b []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

func TestAReaderThatStopsHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &stuckReader{released: make(chan struct{})}
		o := NewAsyncWriter(reader)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		const lines = 4 * maxPendingBytes / 1024
		for range lines {
			n, err := o.Write(line)
			require.NoError(t, err)
			require.Len(t, line, n)
		}
		require.Positive(t, o.Dropped())
		close(reader.released)
		o.Close()
		synctest.Wait()
		text := reader.got.String()
		kept := strings.Count(text, "x\n")
		require.Positive(t, kept)
		require.Contains(t, text, fmt.Sprintf(`"name":"lines_dropped","count":%d`, lines-kept))
	})
}

func TestLinesComeInOrderAndAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		o := NewAsyncWriter(&b)
		for i := range 1000 {
			_, err := fmt.Fprintf(o, "line %d\n", i)
			require.NoError(t, err)
		}
		o.Close()
		lines := strings.Split(strings.TrimSpace(b.String()), "\n")
		require.Len(t, lines, 1000)
		require.Equal(t, "line 999", lines[999])
	})
}

func TestAWriterThatFailsIsNobodysConcern(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, writer := io.Pipe()
		require.NoError(t, reader.Close())
		o := NewAsyncWriter(writer)
		_, err := o.Write([]byte("lost\n"))
		require.NoError(t, err)
		o.Close()
	})
}
