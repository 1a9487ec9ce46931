package plainservice

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/link/message"
)

// recorder records what a caller would get.
type recorder struct {
	status int
	body   []byte
}

func (r *recorder) WriteHeader(status int, _ http.Header) error {
	r.status = status
	return nil
}

func (r *recorder) WriteData(data []byte) error {
	r.body = append(r.body, data...)
	return nil
}

// serveOnce serves one connection, on which it writes response after a request and closes. It returns the URL.
func serveOnce(t *testing.T, response string) string {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, response)
		}
	}()
	return "http://" + listener.Addr().String()
}

// TestResponseThatIsCutIsNotWhole ends the connection after each byte of a response. It guards against a success that looks whole of a service that
// stopped in the middle of its head or body.
func TestResponseThatIsCutIsNotWhole(t *testing.T) {
	for _, response := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		for cut := range len(response) {
			var got recorder
			client := New(Options{URL: serveOnce(t, response[:cut])})
			err := client.Call(t.Context(), &message.Dispatch{Call: &message.Call{Method: http.MethodGet, Path: "/a"}}, &got)
			require.Error(t, err, "%q", response[:cut])
			require.False(t, IsErrNotSent(err), "%q", response[:cut])
		}
	}
}

// TestAnswerWithTooManyFieldsIsNotPassedOn guards against a service whose answers have thousands of short header fields,
// each of which takes many times its text at the agent, the entry and the control hosts.
func TestAnswerWithTooManyFieldsIsNotPassedOn(t *testing.T) {
	for fields, passedOn := range map[int]bool{200: true, 8000: false} {
		var got recorder
		response := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + strings.Repeat("a: b\r\n", fields) + "\r\nwhole"
		client := New(Options{URL: serveOnce(t, response)})
		err := client.Call(t.Context(), &message.Dispatch{Call: &message.Call{Method: http.MethodGet, Path: "/a"}}, &got)
		if passedOn {
			require.NoError(t, err)
			require.Equal(t, recorder{http.StatusOK, []byte("whole")}, got)
			continue
		}
		require.True(t, IsErrResponseCut(err), err)
		require.Equal(t, recorder{}, got)
	}
}

// TestAnswerWithInvalidStatusIsNotPassedOn guards against an answer of a service in trouble that its caller gets as a complete one, or that
// ends the entry's handler. A change of protocols, which nobody has asked for, is no answer either.
func TestAnswerWithInvalidStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000", "000 Trouble", "099", "+20", "600", "999", "101 Switching Protocols"} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			var got recorder
			client := New(Options{URL: serveOnce(t, "HTTP/1.1 "+status+"\r\nContent-Length: 5\r\n\r\nwhole")})
			err := client.Call(t.Context(), &message.Dispatch{Call: &message.Call{Method: method, Path: "/a"}}, &got)
			require.True(t, IsErrResponseCut(err), "%s: %v", status, err)
			require.Equal(t, recorder{}, got)
		}
	}
}

// TestEarlyAnswerThatIsResetIsNotPassedOnAsWhole guards against a service that answers a long upload before it has read it, and resets the
// connection after a part of its answer: the write of the upload may get the reset, and the read a plain end of file.
func TestEarlyAnswerThatIsResetIsNotPassedOnAsWhole(t *testing.T) {
	const uploadBytes = 8 << 20
	for _, framing := range []string{"", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"} {
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+framing+"\r\n2\r\n")
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}()
		call := &message.Call{Method: http.MethodPost, Path: "/a", Body: make([]byte, uploadBytes)}
		err = New(Options{URL: "http://" + listener.Addr().String()}).Call(t.Context(), &message.Dispatch{Call: call}, &recorder{})
		require.True(t, IsErrResponseCut(err), "%q: %v", framing, err)
	}
}

// TestAnswerWithInvalidFieldNameIsNotPassedOn guards against an answer of a service in trouble that its caller gets as a complete one, with a
// line that is no header field left out or joined to the one before.
func TestAnswerWithInvalidFieldNameIsNotPassedOn(t *testing.T) {
	for _, line := range []string{
		"X Odd: v", "X-Odd : v", " X-Odd: v", "\tX-Odd: v", "Content-Length : 7", "Transfer-Encoding : chunked", "X\x00Odd: v", "X\x7fOdd: v",
		": v", "nocolon", "X-Odd: a\x00b",
	} {
		for _, earlier := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				var got recorder
				client := New(Options{URL: serveOnce(t, earlier+"HTTP/1.1 200 OK\r\nX-Sound: s\r\n"+line+"\r\nContent-Length: 5\r\n\r\nwhole")})
				err := client.Call(t.Context(), &message.Dispatch{Call: &message.Call{Method: method, Path: "/a"}}, &got)
				require.True(t, IsErrResponseCut(err), "%q: %v", line, err)
				require.Equal(t, recorder{}, got)
			}
		}
	}
}
