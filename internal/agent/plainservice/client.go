// Package plainservice is the agent's HTTP client of the plain services on its host.
package plainservice

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/process/httphead"
	"github.com/egretreach/egretreach/internal/process/httpstatus"
)

// RequestIDHeader is the header field with the ID of the request.
const RequestIDHeader = "Egretreach-Request-Id"

const (
	traceParentHeader = "Traceparent"
	bufferBytes       = 32 << 10
)

// hopByHopHeaders lists the header fields that a proxy must not forward (RFC 9110, section
// 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// Options are the settings of a Client.
type Options struct {
	// URL is the service's base URL; its host is an IP address.
	URL string
	// Transport replaces the TCP transport, for tests.
	Transport http.RoundTripper
	// Wrap returns a transport around the given one, which observes the responses with a valid status. It may be nil.
	Wrap func(http.RoundTripper) http.RoundTripper
}

// Client is an HTTP client of one service. Use New.
type Client struct {
	baseURL   string
	transport http.RoundTripper
}

// New returns a client of the service at opts.URL. It does not connect yet.
func New(opts Options) *Client {
	transport := opts.Transport
	if transport == nil {
		transport = NewTransport()
	}
	transport = httpstatus.Transport{Next: transport}
	if opts.Wrap != nil {
		transport = opts.Wrap(transport)
	}
	return &Client{baseURL: strings.TrimSuffix(opts.URL, "/"), transport: transport}
}

// NewTransport returns the transport for a service.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:        httphead.Checked((&net.Dialer{}).DialContext), // Each connection carries one request.
		DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// maxHeaderBytes bounds the header of a response in bytes, and maxHeaderFields the number of its fields.
const (
	maxHeaderBytes  = 64 << 10
	maxHeaderFields = 256
)

// ResponseSink receives the response of a service as it arrives. The data passed to
// WriteData is only valid until WriteData returns.
type ResponseSink interface {
	WriteHeader(status int, header http.Header) error
	WriteData(data []byte) error
}

// Call sends the call of d at most once and passes the response to sink. It reads
// no further while sink blocks, so a slow receiver slows the service down. It
// returns ErrNotSent if the call did not run, ErrResponseCut if it may have run,
// and the errors of sink as they are.
func (c *Client) Call(ctx context.Context, d *message.Dispatch, sink ResponseSink) error {
	req, err := c.newRequest(ctx, d)
	if err != nil {
		return ErrNotSent{Cause: err}
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	resp, err := c.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	switch {
	case err != nil && !connected:
		return ErrNotSent{Cause: err}
	case err != nil:
		return ErrResponseCut{Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed {
		return ErrResponseCut{Cause: errors.New("the answer has neither a length nor chunks, so its end can't be told")}
	}
	if countFields(resp.Header) > maxHeaderFields {
		return ErrResponseCut{Cause: errors.New("the answer has too many header fields")}
	}
	removeHopByHopHeaders(resp.Header)
	if err := sink.WriteHeader(resp.StatusCode, resp.Header); err != nil {
		return err
	}
	return copyBody(resp.Body, sink)
}

func countFields(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

func copyBody(body io.Reader, sink ResponseSink) error {
	buf := make([]byte, bufferBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if sinkErr := sink.WriteData(buf[:n]); sinkErr != nil {
				return sinkErr
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return ErrResponseCut{Cause: err}
		}
	}
}

func (c *Client) newRequest(ctx context.Context, d *message.Dispatch) (*http.Request, error) {
	call := d.Call
	target, err := url.Parse(c.baseURL)
	if err != nil {
		return nil, errors.Wrap(err, "service URL")
	}
	target = target.JoinPath(call.Path)
	target.RawQuery = call.Query
	req, err := http.NewRequestWithContext(ctx, call.Method, target.String(), bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	// net/http retries a request if a reused connection is closed under it, even a
	// POST if it has an Idempotency-Key. It never retries on a new connection.
	req.Close = true
	req.GetBody = nil
	for name, values := range call.Header {
		req.Header[http.CanonicalHeaderKey(name)] = append([]string(nil), values...)
	}
	removeHopByHopHeaders(req.Header)
	req.Header.Del("Host")
	req.Header.Del("Content-Length")
	req.Header.Set(RequestIDHeader, d.Ref.Request.String())
	if d.TraceParent != "" {
		req.Header.Set(traceParentHeader, d.TraceParent)
	}
	return req, nil
}

func removeHopByHopHeaders(h http.Header) {
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
