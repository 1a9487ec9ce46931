package api

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/egretreach/egretreach/internal/entry/dispatch"
	"github.com/egretreach/egretreach/internal/fleet/team"
	"github.com/egretreach/egretreach/internal/process/httpserver"
)

const (
	retryAfterNotReady     = time.Second
	retryAfterCallerMemory = time.Second
)

// authorize sets the caller's team and its limits. If it fails, it writes an error
// response and returns false.
func (a *API) authorize(c *call) bool {
	if !a.backend.Configured() {
		a.writeError(c, errorResponse{
			status: http.StatusServiceUnavailable, code: "not_ready",
			message: "this entry has no configuration yet", retryAfter: retryAfterNotReady,
		})
		return false
	}
	scheme, token, _ := strings.Cut(c.r.Header.Get("Authorization"), " ")
	token = strings.TrimSpace(token)
	var id team.ID
	known, ok := false, true
	if strings.EqualFold(scheme, "Bearer") && token != "" {
		known, ok = a.findConfirmed(c, func() (found bool) {
			id, found = a.backend.Authenticate(token)
			return found
		})
	}
	if !ok {
		return false
	}
	if !known {
		c.w.Header().Set("WWW-Authenticate", "Bearer")
		a.writeError(c, errorResponse{
			status: http.StatusUnauthorized, code: "invalid_token",
			message: "send a team's token as 'Authorization: Bearer TOKEN'",
		})
		return false
	}
	c.team = id
	c.limits = a.backend.RequestLimits(id)
	return true
}

// readBody reads the whole body. If it fails, it writes an error response and returns
// false.
func (a *API) readBody(c *call) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, c.limits.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return body, true
	case errors.As(err, &tooLarge):
		a.writeError(c, errorResponse{
			status: http.StatusRequestEntityTooLarge, code: "body_too_large",
			message: fmt.Sprintf("the body is over %d bytes", c.limits.MaxBodyBytes),
		})
	case errors.Is(err, httpserver.ErrCallerMemory):
		a.writeError(c, errorResponse{
			status: http.StatusServiceUnavailable, code: "caller_memory", message: err.Error(), retryAfter: retryAfterCallerMemory,
		})
	default:
		a.writeError(c, errorResponse{status: http.StatusBadRequest, code: "body_unreadable", message: "the body did not arrive whole"})
	}
	return nil, false
}

// newWork sets the fields of a dispatch.Work that all kinds of requests share. If it
// fails, it writes an error response and returns false.
func (a *API) newWork(c *call, body []byte, idempotent bool) (dispatch.Work, bool) {
	wanted := team.Class(c.r.Header.Get(HeaderClass))
	var class Class
	known, ok := a.findConfirmed(c, func() (found bool) {
		class, found = a.backend.ResolveClass(c.team, wanted)
		return found
	})
	if !ok {
		return dispatch.Work{}, false
	}
	if !known {
		a.writeError(c, errorResponse{status: http.StatusBadRequest, code: "unknown_class", message: fmt.Sprintf("the team may not use a class %q", wanted)})
		return dispatch.Work{}, false
	}
	timeout := class.Timeout
	if value := c.r.Header.Get(HeaderTimeout); value != "" {
		d, err := time.ParseDuration(value)
		if err != nil || d <= 0 {
			a.writeError(c, errorResponse{status: http.StatusBadRequest, code: "bad_timeout", message: HeaderTimeout + " is a duration such as 30s"})
			return dispatch.Work{}, false
		}
		timeout = d
	}
	work := dispatch.Work{
		ID: c.id, Team: c.team, Class: class.Name, Priority: class.Priority,
		Deadline: time.Now().Add(min(timeout, c.limits.MaxTimeout)), MaxAnswer: c.limits.MaxAnswerBytes, TraceParent: c.r.Header.Get(headerTraceParent),
	}
	return work, a.addKey(c, &work, body, idempotent)
}

// addKey makes a request run at most once if the caller gave an Idempotency-Key or the
// request itself is not idempotent. If it fails, it writes an error response and
// returns false.
func (a *API) addKey(c *call, work *dispatch.Work, body []byte, idempotent bool) bool {
	key := c.r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes || !utf8.ValidString(key) {
		a.writeError(c, errorResponse{status: http.StatusBadRequest, code: "bad_idempotency_key", message: fmt.Sprintf("an Idempotency-Key is UTF-8 of at most %d bytes", maxIdempotencyKeyBytes)})
		return false
	}
	if key == "" && idempotent {
		return true
	}
	work.CallerKey = key != ""
	if key == "" {
		key = "minted-" + uuid.NewString()
	}
	work.AtMostOnce = true
	work.Key = key
	work.KeyHash = keyHash(c.r, body)
	return true
}

// keyHash hashes the request that an idempotency key is bound to: its method, path,
// query and body.
func keyHash(r *http.Request, body []byte) []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%s %s?%s\n", r.Method, r.URL.Path, r.URL.RawQuery)
	h.Write(body)
	return h.Sum(nil)
}
