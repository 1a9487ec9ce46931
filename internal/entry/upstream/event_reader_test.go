package upstream

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

func readAll(e *EventReader) ([]string, []string, error) {
	var events, ids []string
	for {
		next, err := e.Next()
		if err != nil {
			return events, ids, err
		}
		events, ids = append(events, string(next.Bytes)), append(ids, next.ID)
	}
}

func TestEventsAreCompleteHoweverTheBytesArrive(t *testing.T) {
	const text = "id: 1\ndata: a\n\nid:2\ndata: b\ndata: c\n\n: comment\n\r\nid: 10\r\ndata: d\r\n\r\n"
	want := []string{"id: 1\ndata: a\n\n", "id:2\ndata: b\ndata: c\n\n", ": comment\n\r\n", "id: 10\r\ndata: d\r\n\r\n"}
	for name, reader := range map[string]io.Reader{
		"at once":           strings.NewReader(text),
		"byte by byte":      iotest.OneByteReader(strings.NewReader(text)),
		"EOF with the data": iotest.DataErrReader(strings.NewReader(text)),
	} {
		t.Run(name, func(t *testing.T) {
			events, ids, err := readAll(NewEventReader(reader))
			require.ErrorIs(t, err, io.EOF)
			require.Equal(t, want, events)
			require.Equal(t, []string{"1", "2", "", "10"}, ids)
		})
	}
}

func TestTruncatedEventIsNotReturned(t *testing.T) {
	events, _, err := readAll(NewEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\ndata: b\n")))
	require.True(t, IsErrInterrupted(err))
	require.Len(t, events, 1)
}

func TestTooLargeEventIsRejected(t *testing.T) {
	_, _, err := readAll(NewEventReader(bytes.NewReader(bytes.Repeat([]byte("x"), 2*maxEventSize))))
	require.True(t, IsErrInterrupted(err))
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nrest"))
	f.Add([]byte("\n\n\r\n\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		events, _, err := readAll(NewEventReader(iotest.OneByteReader(bytes.NewReader(text))))
		require.Error(t, err)
		joined := strings.Join(events, "")
		require.True(t, strings.HasPrefix(string(text), joined))
		for _, e := range events {
			require.True(t, strings.HasSuffix(e, "\n"))
		}
	})
}
