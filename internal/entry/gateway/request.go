package gateway

import (
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/entry/upstream"
	"github.com/egretreach/egretreach/internal/process/httpserver"
)

// readBody reads the whole body, so that the request can be retried, and sets request. If the
// body is too large or does not arrive in time it responds and returns false.
func (c *call) readBody() bool {
	controller := http.NewResponseController(c.w)
	if err := controller.SetReadDeadline(c.deadline); err != nil {
		c.deny(http.StatusBadRequest, "connection lost")
		return false
	}
	err := c.readWholeBody()
	if err == nil || errors.Is(err, errBodyMemory) {
		if deadlineErr := controller.SetReadDeadline(time.Time{}); deadlineErr != nil {
			err = deadlineErr
		}
	}
	if errors.Is(err, errBodyMemory) || errors.Is(err, httpserver.ErrCallerMemory) {
		c.refuse(bodyMemoryRetryAfter, err.Error())
		return false
	}
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			c.deny(denialBodyTooLarge.status, denialBodyTooLarge.reason)
			return false
		}
		var slow net.Error
		if errors.As(err, &slow) && slow.Timeout() {
			c.deny(http.StatusRequestTimeout, "body too slow")
			return false
		}
		c.deny(http.StatusBadRequest, "body cut short")
		return false
	}
	body := c.body.data
	c.request = &upstream.Request{
		Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host, Header: c.endpointHeader(), Body: body,
		HasBody: len(body) > 0 || c.r.ContentLength == 0 && c.r.Header.Get("Content-Length") != "" || c.r.Method == http.MethodPost,
	}
	return true
}

// headerBytes returns the size of a request's header, its request line included. It is that of the header with a space before each value
// and both characters at each line's end, unless less was sent.
func headerBytes(r *http.Request) int {
	n := usualHeaderBytes(r)
	if sent, ok := httpserver.HeaderSize(r.Context()); ok {
		return min(n, sent)
	}
	return n
}

// usualHeaderBytes returns the size of a request's header as most callers write it.
func usualHeaderBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(" HTTP/1.1\r\nHost: \r\n ") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// connectionHeaders are the hop-by-hop headers, which must not be forwarded (RFC 9110, section
// 7.6.1), those that the gateway sets itself, and Expect.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	"Content-Length", "Proxy-Authenticate", "Proxy-Authorization",
}

// stripConnectionHeaders removes the connectionHeaders and those that the Connection header
// names.
func stripConnectionHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		delete(h, name)
	}
}

// endpointHeader returns the headers that endpoints get, without those that differ by attempt.
func (c *call) endpointHeader() http.Header {
	names := c.g.opts.Dialect.Headers
	out := c.r.Header.Clone()
	kept := out[names.RequestID]
	stripConnectionHeaders(out)
	if len(kept) > 0 {
		out[names.RequestID] = kept
	}
	for _, own := range []string{names.APIKey, names.Team, names.ExpectedEndpoint, names.Priority, names.Deadline} {
		delete(out, own)
	}
	if c.team != nil {
		out[names.Team] = []string{c.team.Name}
	}
	if c.model != "" {
		out[names.Priority] = []string{c.g.opts.Dialect.FormatPriority(c.priority)}
	}
	return out
}
