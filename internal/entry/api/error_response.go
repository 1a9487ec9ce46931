package api

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/egretreach/egretreach/internal/entry/dispatch"
	"github.com/egretreach/egretreach/internal/entry/execution"
	"github.com/egretreach/egretreach/internal/fleet/request"
)

// errorResponse is the response that says why a request has no result. An empty outcome
// means not_run.
type errorResponse struct {
	status     int
	code       string
	message    string
	outcome    request.Outcome
	retryAfter time.Duration
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string          `json:"message"`
	Type      string          `json:"type"`
	Code      string          `json:"code"`
	Outcome   request.Outcome `json:"outcome"`
	RequestID string          `json:"request_id"`
}

func (r errorResponse) body(id request.ID) errorBody {
	kind := "server_error"
	if r.status < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return errorBody{Error: errorDetail{
		Message: r.message, Type: kind, Code: r.code, Outcome: r.outcome, RequestID: id.String(),
	}}
}

// writeError sends an error response. It sets no Retry-After for a retryAfter of 0, and rounds
// others up to whole seconds.
func (a *API) writeError(c *call, r errorResponse) {
	if r.outcome == "" {
		r.outcome = request.OutcomeNotRun
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(r.outcome))
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.retryAfter.Seconds()))))
	}
	c.w.WriteHeader(r.status)
	_ = json.NewEncoder(c.w).Encode(r.body(c.id))
}

// statusByCode holds the HTTP status of the response to each code of a result.
var statusByCode = map[string]int{
	execution.CodeNoControl:             http.StatusServiceUnavailable,
	execution.CodeLedgerFull:            http.StatusServiceUnavailable,
	execution.CodeKeyReused:             http.StatusUnprocessableEntity,
	execution.CodeEarlierAttemptUnknown: http.StatusConflict,
	execution.CodeAnswerNotKept:         http.StatusConflict,
	execution.CodeDeadlineExceeded:      http.StatusGatewayTimeout,
	execution.CodeAgentUnreachable:      http.StatusBadGateway,
	execution.CodeEngineCrashed:         http.StatusBadGateway,
	execution.CodeStillRunning:          http.StatusConflict,
	execution.CodeNoReplica:             http.StatusServiceUnavailable,
	execution.CodeEndpointFailed:        http.StatusBadGateway,
	"deadline":                          http.StatusServiceUnavailable,
	"queue_full":                        http.StatusServiceUnavailable,
	"team_requests":                     http.StatusTooManyRequests,
	"team_tokens":                       http.StatusTooManyRequests,
	"team_concurrency":                  http.StatusTooManyRequests,
	"quarantined":                       http.StatusUnprocessableEntity,
	"request_too_large":                 http.StatusRequestEntityTooLarge,
	"answer_too_large":                  http.StatusBadGateway,
	"answer_memory":                     http.StatusBadGateway,
	"invalid_request":                   http.StatusBadRequest,
	"not_ready":                         http.StatusServiceUnavailable,
}

func newErrorResponse(r dispatch.Result) errorResponse {
	status, ok := statusByCode[r.Code]
	switch {
	case ok:
	case r.Outcome == request.OutcomeUnknown:
		status = http.StatusBadGateway
	default:
		status = http.StatusServiceUnavailable
	}
	message := r.Reason
	if message == "" {
		message = "the request could not be served"
	}
	if r.Outcome == request.OutcomeUnknown {
		message += "; it may have run"
	}
	return errorResponse{status: status, code: r.Code, message: message, outcome: r.Outcome, retryAfter: r.RetryAfter}
}
