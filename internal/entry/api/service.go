package api

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/egretreach/egretreach/internal/entry/dispatch"
	"github.com/egretreach/egretreach/internal/entry/execution"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/link/message"
	"github.com/egretreach/egretreach/internal/process/httpserver"
	"github.com/egretreach/egretreach/internal/process/httpstatus"
)

// droppedHeaders are the hop-by-hop headers (RFC 9110, section 7.6.1), Authorization,
// Content-Length and headers of this system.
var droppedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
	HeaderRequestID, HeaderOutcome, HeaderClass, HeaderTimeout,
}

func (a *API) serveServiceCall(c *call) {
	if !a.authorize(c) {
		return
	}
	name := c.params("service")
	path := "/" + strings.TrimPrefix(c.params("path"), "/")
	var idempotent bool
	known, ok := a.findConfirmed(c, func() (found bool) {
		found, idempotent = a.backend.LookupService(name, c.r.Method, path)
		return found
	})
	if !ok {
		return
	}
	if !known {
		a.writeError(c, errorResponse{status: http.StatusNotFound, code: "unknown_service", message: fmt.Sprintf("there is no service %q", name)})
		return
	}
	body, ok := a.readBody(c)
	if !ok {
		return
	}
	work, ok := a.newWork(c, body, idempotent)
	if !ok {
		return
	}
	work.BodyHash = a.backend.BodyHash(c.r.Method, c.r.URL.Path, body)
	work.Body = dispatch.ServiceCall{Call: message.Call{
		Service: name, Method: c.r.Method, Path: path, Query: c.r.URL.RawQuery,
		Header: forwardedHeaders(c.r.Header), Body: body,
	}}
	result := a.backend.Serve(c.r.Context(), work, nil)
	if result.Outcome != request.OutcomeComplete || result.Answer == nil {
		a.writeError(c, newErrorResponse(result))
		return
	}
	if err := httpstatus.CheckFinal(result.Answer.Status); err != nil {
		a.writeError(c, newErrorResponse(invalidAnswer(err)))
		return
	}
	a.writeResponse(c, result.Answer)
}

// invalidAnswer returns the result of a call whose answer, which an earlier version has kept, can't be passed on. The call has run.
func invalidAnswer(cause error) dispatch.Result {
	return dispatch.Result{Result: execution.Result{
		Outcome: request.OutcomeUnknown, Code: execution.CodeEndpointFailed, Reason: cause.Error(),
	}}
}

func (a *API) writeResponse(c *call, answer *message.Answer) {
	h := c.w.Header()
	for name, values := range forwardedHeaders(answer.Header) {
		h[http.CanonicalHeaderKey(name)] = values
	}
	h.Set(HeaderOutcome, string(request.OutcomeComplete))
	c.w.WriteHeader(answer.Status)
	httpserver.HoldResponse(c.r.Context(), len(answer.Body))
	_, _ = c.w.Write(answer.Body)
}

// forwardedHeaders returns the headers to be forwarded. It leaves out droppedHeaders
// and those that the Connection header names.
func forwardedHeaders(in map[string][]string) map[string][]string {
	out := make(http.Header, len(in))
	for name, values := range in {
		out[http.CanonicalHeaderKey(name)] = values
	}
	for _, line := range out["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range droppedHeaders {
		out.Del(name)
	}
	return out
}
