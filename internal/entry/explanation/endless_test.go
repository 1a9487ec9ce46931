package explanation

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEndlessAnswersFillNoMemoryOfCommands guards against a faulty gateway whose answer to an operator's command never
// ends.
func TestEndlessAnswersFillNoMemoryOfCommands(t *testing.T) {
	const maxAllocated = 96 << 20
	for name, c := range map[string]struct{ beginning, text string }{
		"header fields": {"HTTP/1.1 200 OK\r\n", strings.Repeat("a: b\r\n", 1000)},
		"1xx":           {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 100)},
		"body":          {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 16<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			data := []byte(c.text)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, err = http.ReadRequest(bufio.NewReader(conn))
				if err == nil {
					_, err = io.WriteString(conn, c.beginning)
				}
				for err == nil {
					_, err = conn.Write(data)
				}
			}()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err = Client{Address: listener.Addr().String()}.Explain(t.Context(), Request{Path: "/a"})
			runtime.ReadMemStats(&after)
			require.Error(t, err)
			require.LessOrEqual(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated))
		})
	}
}
