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

// blockingWriter blocks each Write until released is closed.
type blockingWriter struct {
	released chan struct{}
	mu       sync.Mutex
	got      bytes.Buffer
}

func (s *blockingWriter) Write(b []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

func TestWriteDropsLinesWhileDestinationBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		destination := &blockingWriter{released: make(chan struct{})}
		w := NewAsyncWriter(destination)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		const lines = 4 * maxPendingBytes / 1024
		for range lines {
			n, err := w.Write(line)
			require.NoError(t, err)
			require.Len(t, line, n)
		}
		require.Positive(t, w.Dropped())
		close(destination.released)
		w.Close()
		synctest.Wait()
		text := destination.got.String()
		kept := strings.Count(text, "x\n")
		require.Positive(t, kept)
		require.Contains(t, text, fmt.Sprintf(`"name":"lines_dropped","count":%d`, lines-kept))
	})
}

func TestCloseWritesAllLinesInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		w := NewAsyncWriter(&b)
		for i := range 1000 {
			_, err := fmt.Fprintf(w, "line %d\n", i)
			require.NoError(t, err)
		}
		w.Close()
		lines := strings.Split(strings.TrimSpace(b.String()), "\n")
		require.Len(t, lines, 1000)
		require.Equal(t, "line 999", lines[999])
	})
}

func TestFailedDestinationCausesNoError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, writer := io.Pipe()
		require.NoError(t, reader.Close())
		w := NewAsyncWriter(writer)
		_, err := w.Write([]byte("lost\n"))
		require.NoError(t, err)
		w.Close()
	})
}
