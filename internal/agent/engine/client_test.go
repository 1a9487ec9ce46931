package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/fleet/replica"
	"github.com/egretreach/egretreach/internal/link/message"
)

// serveEngine serves an engine that answers by a script, given the number of earlier requests on the connection. It returns the URL.
func serveEngine(t *testing.T, answer func(c net.Conn, r *http.Request, earlier int)) string {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for earlier := 0; ; earlier++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body) // A request that is cut short ends the connection.
					answer(c, r, earlier)
					if r.Close {
						return
					}
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

func write(c net.Conn, status int, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// endEvent is the end of a generation without tokens.
const endEvent = `{"request_id":"%s","attempt":1,"offset":0,"end":true,"finish_reason":"stop"}` + "\n"

// TestRefusalOfAnEarlierCallRefusesNoGeneration guards against an engine that writes an earlier refusal once more on a kept connection, so
// that a caller is told that a generation did not run that the engine runs.
func TestRefusalOfAnEarlierCallRefusesNoGeneration(t *testing.T) {
	d := &message.Dispatch{Generate: &message.Generate{Path: "/v1/completions"}}
	d.Ref.Attempt = 1
	url := serveEngine(t, func(c net.Conn, r *http.Request, earlier int) {
		const refused = `{"code":"busy","reason":"full"}`
		if !strings.HasSuffix(r.URL.Path, PathGenerate) {
			write(c, http.StatusConflict, refused)
			return
		}
		if earlier > 0 {
			write(c, http.StatusConflict, refused)
		}
		write(c, http.StatusOK, fmt.Sprintf(endEvent, d.Ref.Request.String()))
	})
	client := New(Options{URL: url})
	for range 3 {
		_, err := client.Report(t.Context())
		require.Error(t, err)
		_, err = client.Generate(t.Context(), d, func(TokenBatch) error { return nil })
		require.NoError(t, err)
	}
}

// TestGenerationThatIsCutIsNotComplete guards against an answer that ends with its connection, as it does when the engine crashes, and that
// counts as complete.
func TestGenerationThatIsCutIsNotComplete(t *testing.T) {
	d := &message.Dispatch{Generate: &message.Generate{Path: "/v1/completions"}}
	d.Ref.Attempt = 1
	token := fmt.Sprintf(`{"request_id":"%s","attempt":1,"offset":0,"text":"word"}`+"\n", d.Ref.Request.String())
	for _, cut := range []string{"", token, token[:len(token)/2]} {
		url := serveEngine(t, func(c net.Conn, _ *http.Request, _ int) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 X\r\n\r\n"+cut)
			_ = c.Close()
		})
		_, err := New(Options{URL: url}).Generate(t.Context(), d, func(TokenBatch) error { return nil })
		require.True(t, IsErrResponseCut(err), "%q: %v", cut, err)
	}
}

// TestGenerationThatIsCutAnywhereIsNotComplete ends the connection after each byte of an answer, its head included. It guards against a chat that
// looks whole with an empty or short text.
func TestGenerationThatIsCutAnywhereIsNotComplete(t *testing.T) {
	d := &message.Dispatch{Generate: &message.Generate{Path: "/v1/completions"}}
	d.Ref.Attempt = 1
	token := fmt.Sprintf(`{"request_id":"%s","attempt":1,"offset":0,"text":"word"}`+"\n", d.Ref.Request.String())
	body := token + fmt.Sprintf(strings.Replace(endEvent, `"offset":0`, `"offset":1`, 1), d.Ref.Request.String())
	for _, head := range []string{
		fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)),
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		fmt.Sprintf("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)),
	} {
		whole := head + body
		end := len(strings.TrimSuffix(whole, "}\n")) // Without its last bytes the end event is none.
		for cut := range end {
			url := serveEngine(t, func(c net.Conn, _ *http.Request, _ int) {
				_, _ = io.WriteString(c, whole[:cut])
				_ = c.Close()
			})
			_, err := New(Options{URL: url}).Generate(t.Context(), d, func(TokenBatch) error { return nil })
			require.True(t, IsErrResponseCut(err), "%q: %v", whole[:cut], err)
		}
	}
}

// TestRefusalWithInvalidStatusIsNoProof guards against an engine in trouble whose answer passes for a refusal, so that a caller is told that
// a generation did not run that the engine runs.
func TestRefusalWithInvalidStatusIsNoProof(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "600", "999"} {
		url := serveEngine(t, func(c net.Conn, _ *http.Request, _ int) {
			const body = `{"code":"busy","reason":"no slot"}`
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
		})
		d := &message.Dispatch{Generate: &message.Generate{Path: "/v1/completions"}}
		client := New(Options{URL: url})
		_, err := client.Generate(t.Context(), d, nil)
		require.True(t, IsErrResponseCut(err), "%s: %v", status, err)
		_, err = client.Report(t.Context())
		require.True(t, IsErrResponseCut(err), "report, %s: %v", status, err)
		err = client.Load(t.Context(), replica.Replica{ID: "r"}, true)
		require.True(t, IsErrResponseCut(err), "order, %s: %v", status, err)
	}
}

// TestEarlyGenerationThatIsResetIsNotComplete guards against an engine that answers a long prompt before it has read it, and resets the
// connection after a part of its answer, be it tokens or a refusal. Its end isn't told by that of the connection.
func TestEarlyGenerationThatIsResetIsNotComplete(t *testing.T) {
	const promptBytes = 4 << 20
	d := &message.Dispatch{Generate: &message.Generate{Path: "/v1/completions", Body: []byte(`"` + strings.Repeat("x", promptBytes) + `"`)}}
	d.Ref.Attempt = 1
	for _, part := range []string{
		"200 OK\r\n\r\n" + fmt.Sprintf(`{"request_id":"%s","attempt":1,"offset":0,"text":"word"}`+"\n", d.Ref.Request.String()),
		"409 Conflict\r\n\r\n" + `{"code":"busy","reason":"fu`,
	} {
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 "+part)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}()
		_, err = New(Options{URL: "http://" + listener.Addr().String()}).Generate(t.Context(), d, func(TokenBatch) error { return nil })
		require.True(t, IsErrResponseCut(err), "%q: %v", part, err)
	}
}

// TestInvalidFieldNameIsNoAnswer guards against an engine in trouble, with a line in a head that is no header field, whose answer passes for a
// report, on a kept connection too, or for the refusal of a generation that it runs.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	for _, line := range []string{"X Odd: v", "X-Odd : v", " X-Odd: v", "X\x00Odd: v", "Content-Length : 7"} {
		url := serveEngine(t, func(c net.Conn, r *http.Request, earlier int) {
			status, body := http.StatusOK, `{}`
			if strings.HasSuffix(r.URL.Path, PathGenerate) {
				status, body = http.StatusConflict, `{"code":"busy","reason":"no slot"}`
			} else if earlier == 0 {
				write(c, status, body)
				return
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nX-Sound: s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, line, len(body), body)
		})
		client := New(Options{URL: url})
		_, err := client.Generate(t.Context(), &message.Dispatch{Generate: &message.Generate{Path: "/v1/completions"}}, nil)
		require.True(t, IsErrResponseCut(err), "%q: %v", line, err)
		r := replica.Replica{ID: "r"}
		require.NoError(t, client.Load(t.Context(), r, true))
		err = client.Load(t.Context(), r, true)
		require.True(t, IsErrResponseCut(err), "%q on a kept connection: %v", line, err)
	}
}
