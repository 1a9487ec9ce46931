package caller

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// maxRead is how much of a response a caller reads at most, in bytes, that takes no more than it may.
const maxRead = 16 << 20

// endlessBody is the body of a response that goes on until maxRead.
type endlessBody struct {
	text string
	read int
}

// Read implements io.Reader.
func (b *endlessBody) Read(p []byte) (int, error) {
	if b.read > maxRead {
		return 0, io.ErrNoProgress
	}
	n := copy(p, b.text[b.read%len(b.text):])
	b.read += n
	return n, nil
}

// TestEndlessResponsesFillNoMemory guards against a gateway that sends a response without end, until a load generator
// has no memory left.
func TestEndlessResponsesFillNoMemory(t *testing.T) {
	const maxAllocated = 64 << 20
	event := `data: {"choices":[{"delta":{"content":"` + strings.Repeat("x", 4<<10) + `"}}]}` + "\n\n"
	for name, c := range map[string]struct {
		kind Kind
		text string
	}{
		"whole":  {KindNonStreaming, "x"},
		"line":   {KindStream, "x"},
		"events": {KindStream, event},
	} {
		t.Run(name, func(t *testing.T) {
			body := &endlessBody{text: strings.Repeat(c.text, (64<<10)/len(c.text))}
			response := &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(body)}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := readResponse(response, c.kind)
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			require.LessOrEqual(t, body.read, maxRead, "the caller ended the response")
			require.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated))
		})
	}
}
