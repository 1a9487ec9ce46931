package httpserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ordinaryRequest is a request with the header of a common client.
const ordinaryRequest = "POST /v1/chat/completions HTTP/1.1\r\nHost: gateway.example:8227\r\nUser-Agent: client/1.0\r\nAccept: */*\r\n" +
	"Content-Type: application/json\r\nAuthorization: Bearer 0123456789abcdef\r\nTraceparent: 00-0123456789\r\nEgretreach-Timeout: 4s\r\n" +
	"Content-Length: 64\r\n\r\n{\"model\":\"drafter\",\"messages\":[{\"role\":\"user\",\"content\":\"text\"}]"

// instantConn reads and writes at once.
type instantConn struct {
	net.Conn
	request []byte
}

func (c instantConn) Read(p []byte) (int, error)       { return copy(p, c.request), nil }
func (instantConn) Write(p []byte) (int, error)        { return len(p), nil }
func (instantConn) Close() error                       { return nil }
func (instantConn) SetReadDeadline(_ time.Time) error  { return nil }
func (instantConn) SetWriteDeadline(_ time.Time) error { return nil }

// BenchmarkAccounting measures what the limits add to a request, beside 1,000 other connections.
func BenchmarkAccounting(b *testing.B) {
	budget := NewBudget(BudgetOptions{})
	for range 1000 {
		budget.open(&account{evict: func() {}})
	}
	c := &limitedConn{Conn: instantConn{request: []byte(ordinaryRequest)}, budget: budget}
	c.account.evict = c.evict
	budget.open(&c.account)
	buffer := make([]byte, readBufferSize)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.Read(buffer)
		c.headerRead(false)
		_, _ = c.Write(buffer)
		c.requestEnded()
	}
}

// BenchmarkOrdinaryRequest measures a request on a connection that is kept, with and without the limits.
func BenchmarkOrdinaryRequest(b *testing.B) {
	for name, serve := range map[string]func(*Server, net.Listener) error{
		"limits": (*Server).Serve,
		"none":   func(s *Server, l net.Listener) error { return s.server.Serve(l) },
	} {
		b.Run(name, func(b *testing.B) {
			s := New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, "served")
			})}, http.NotFoundHandler(), CallerLimits{OwnBodies: true})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			go func() { _ = serve(s, l) }()
			defer func() { _ = s.Close() }()
			c, err := net.Dial("tcp", l.Addr().String())
			require.NoError(b, err)
			reader := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				_, err := io.WriteString(c, ordinaryRequest)
				require.NoError(b, err)
				response, err := http.ReadResponse(reader, nil)
				require.NoError(b, err)
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		})
	}
}
