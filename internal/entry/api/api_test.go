package api

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/egretreach/egretreach/internal/entry/dispatch"
	"github.com/egretreach/egretreach/internal/entry/execution"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/team"
	"github.com/egretreach/egretreach/internal/link/message"
)

// fakeBackend knows one model and one service and returns a fixed result.
type fakeBackend struct {
	// unconfirmed is set if control confirms no configuration.
	unconfirmed bool
	tokens      []string
	result      dispatch.Result
	requests    []dispatch.Work
}

func (f *fakeBackend) Authenticate(token string) (team.ID, bool) { return "cascadia", token == "good" }

func (f *fakeBackend) Models() []Model {
	return []Model{{ID: "drafter", Model: "drafter", Version: "v1"}}
}

func (f *fakeBackend) ResolveModel(name string) (Model, bool) {
	return Model{ID: name, Model: name, Version: "v1"}, name == "drafter"
}

func (f *fakeBackend) LookupService(name, method, _ string) (known, idempotent bool) {
	return name == "records", method == http.MethodGet
}

func (f *fakeBackend) Configured() bool { return true }

func (f *fakeBackend) ConfirmConfig(context.Context) bool { return !f.unconfirmed }

func (f *fakeBackend) ResolveClass(_ team.ID, wanted team.Class) (Class, bool) {
	return Class{Name: "interactive", Timeout: time.Minute}, wanted == ""
}

const testMaxBody = 1 << 20

func (f *fakeBackend) RequestLimits(team.ID) RequestLimits {
	return RequestLimits{MaxBodyBytes: testMaxBody, MaxAnswerBytes: testMaxBody, MaxTokens: 100, MaxTimeout: time.Hour}
}

func (f *fakeBackend) BodyHash(string, string, []byte) uint64 { return 7 }

func (f *fakeBackend) Serve(_ context.Context, work dispatch.Work, sink dispatch.Sink) dispatch.Result {
	f.requests = append(f.requests, work)
	for i, text := range f.tokens {
		if sink == nil {
			continue
		}
		if err := sink.Tokens(uint64(i), 1, []byte(text)); err != nil {
			return dispatch.Result{Result: execution.Result{Outcome: request.OutcomeUnknown, Code: "caller_gone"}}
		}
	}
	return f.result
}

func complete(body string) dispatch.Result {
	return dispatch.Result{Result: execution.Result{
		Outcome: request.OutcomeComplete, Answer: &message.Answer{Status: http.StatusCreated, Body: []byte(body)},
	}}
}

func engineCrashed() dispatch.Result {
	return dispatch.Result{Result: execution.Result{
		Outcome: request.OutcomeUnknown, Code: execution.CodeEngineCrashed, RetryAfter: 1500 * time.Millisecond,
	}}
}

func send(t *testing.T, backend Backend, method, path, body string, header ...string) *http.Response {
	t.Helper()
	handler, err := New(backend, nil)
	require.NoError(t, err)
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer good")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return w.Result()
}

// TestInvalidRequestsAreRefusedAsNotRun checks that each kind of invalid request gets
// its own error code and does not reach the backend.
func TestInvalidRequestsAreRefusedAsNotRun(t *testing.T) {
	prompt := `{"model":"drafter","prompt":"a"}`
	cases := map[string]struct {
		method, path, body string
		header             []string
		status             int
		code               string
	}{
		"no token":        {"POST", "/v1/completions", prompt, []string{"Authorization", ""}, 401, "invalid_token"},
		"bad token":       {"POST", "/v1/completions", prompt, []string{"Authorization", "Bearer bad"}, 401, "invalid_token"},
		"broken JSON":     {"POST", "/v1/completions", `{"model":`, nil, 400, "bad_json"},
		"unknown model":   {"POST", "/v1/completions", `{"model":"x","prompt":"a"}`, nil, 404, "unknown_model"},
		"no prompt":       {"POST", "/v1/chat/completions", `{"model":"drafter","messages":[]}`, nil, 400, "no_prompt"},
		"oversize body":   {"POST", "/v1/completions", strings.Repeat("x", testMaxBody+1), nil, 413, "body_too_large"},
		"many tokens":     {"POST", "/v1/completions", `{"model":"drafter","prompt":"a","max_tokens":101}`, nil, 400, "too_many_tokens"},
		"unknown class":   {"POST", "/v1/completions", prompt, []string{HeaderClass, "x"}, 400, "unknown_class"},
		"bad timeout":     {"POST", "/v1/completions", prompt, []string{HeaderTimeout, "5 apples"}, 400, "bad_timeout"},
		"unreadable key":  {"POST", "/v1/completions", prompt, []string{HeaderIdempotencyKey, "k\xff"}, 400, "bad_idempotency_key"},
		"long key":        {"POST", "/v1/completions", prompt, []string{HeaderIdempotencyKey, strings.Repeat("k", 257)}, 400, "bad_idempotency_key"},
		"unknown service": {"GET", "/services/x/y", "", nil, 404, "unknown_service"},
		"unknown path":    {"GET", "/v2/models", "", nil, 404, "no_such_route"},
		"wrong method":    {"GET", "/v1/completions", "", nil, 405, "method_not_allowed"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			backend := &fakeBackend{}
			resp := send(t, backend, c.method, c.path, c.body, c.header...)
			defer resp.Body.Close()
			var body errorBody
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&body))
			require.Equal(t, c.code, body.Error.Code)
			require.Equal(t, c.status, resp.StatusCode)
			require.Equal(t, "not_run", resp.Header.Get(HeaderOutcome))
			require.NotEmpty(t, resp.Header.Get(HeaderRequestID))
			require.NotEmpty(t, body.Error.Message)
			require.Empty(t, backend.requests)
		})
	}
}

func TestInterruptedStreamNeverLooksComplete(t *testing.T) {
	body := `{"model":"drafter","messages":[{"role":"user","content":"a"}],"stream":true,"stream_options":{"include_usage":true}}`
	cases := map[string]struct {
		backend     *fakeBackend
		done, error bool
		outcome     string
	}{
		"complete":    {&fakeBackend{tokens: []string{"a", "b"}, result: complete("ab")}, true, false, "complete"},
		"interrupted": {&fakeBackend{tokens: []string{"a"}, result: engineCrashed()}, false, true, "unknown"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			resp := send(t, c.backend, "POST", "/v1/chat/completions", body)
			defer resp.Body.Close()
			raw, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, c.done, strings.HasSuffix(string(raw), "data: [DONE]\n\n"))
			require.Equal(t, c.done, strings.Contains(string(raw), `"finish_reason":"stop"`))
			require.Equal(t, c.error, strings.Contains(string(raw), `"code":"engine_crashed"`))
			require.Equal(t, c.outcome, resp.Trailer.Get(HeaderOutcome))
		})
	}
}

func TestFailureBeforeFirstTokenIsAnErrorResponse(t *testing.T) {
	resp := send(t, &fakeBackend{result: engineCrashed()}, "POST", "/v1/completions", `{"model":"drafter","prompt":"a","stream":true}`)
	defer resp.Body.Close()
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Equal(t, "2", resp.Header.Get("Retry-After"))
	require.Equal(t, "unknown", resp.Header.Get(HeaderOutcome))
}

func TestNonIdempotentOrKeyedCallsRunAtMostOnce(t *testing.T) {
	cases := map[string]struct {
		method string
		header []string
		once   bool
	}{
		"get":          {"GET", nil, false},
		"get with key": {"GET", []string{HeaderIdempotencyKey, "k"}, true},
		"post":         {"POST", nil, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			backend := &fakeBackend{result: complete("done")}
			resp := send(t, backend, c.method, "/services/records/signoffs?x=1", "", append(c.header, "Connection", "X-Hop", "X-Hop", "1", "X-Own", "2")...)
			defer resp.Body.Close()
			require.Equal(t, http.StatusCreated, resp.StatusCode)
			require.Len(t, backend.requests, 1)
			work := backend.requests[0]
			require.Equal(t, c.once, work.AtMostOnce)
			require.Equal(t, c.once, work.Key != "")
			call := work.Body.(dispatch.ServiceCall).Call
			require.Equal(t, "/signoffs", call.Path)
			require.Equal(t, "x=1", call.Query)
			require.Equal(t, []string{"2"}, call.Header["X-Own"])
			require.NotContains(t, call.Header, "X-Hop")
			require.NotContains(t, call.Header, "Authorization")
		})
	}
}

func FuzzGenerationBody(f *testing.F) {
	f.Add(`{"model":"drafter","prompt":"a","stream":true}`)
	f.Add(`{"model":"drafter","messages":[{"role":"user","content":"a"}]}`)
	f.Add(`{"model":1}`)
	f.Add(`[]`)
	f.Add(``)
	f.Fuzz(func(t *testing.T, body string) {
		resp := send(t, &fakeBackend{result: complete("x")}, "POST", "/v1/completions", body)
		defer resp.Body.Close()
		require.NotEmpty(t, resp.Header.Get(HeaderRequestID))
		require.Less(t, resp.StatusCode, http.StatusInternalServerError)
	})
}

// TestDenialNeedsAConfirmation guards against a token, class, model or service that was added and is denied by an entry which
// has not received it yet.
func TestDenialNeedsAConfirmation(t *testing.T) {
	prompt := `{"model":"drafter","prompt":"a"}`
	cases := map[string]struct {
		path, body string
		header     []string
	}{
		"unknown token":   {"/v1/completions", prompt, []string{"Authorization", "Bearer bad"}},
		"unknown model":   {"/v1/completions", `{"model":"x","prompt":"a"}`, nil},
		"unknown class":   {"/v1/completions", prompt, []string{HeaderClass, "x"}},
		"unknown service": {"/services/x/y", "", nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			resp := send(t, &fakeBackend{unconfirmed: true}, "POST", c.path, c.body, c.header...)
			defer resp.Body.Close()
			var body errorBody
			require.NoError(t, json.NewDecoder(resp.Body).Decode(&body))
			require.Equal(t, "not_confirmed", body.Error.Code)
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.Equal(t, "not_run", resp.Header.Get(HeaderOutcome))
			require.NotEmpty(t, resp.Header.Get("Retry-After"))
		})
	}
}

// TestKeptAnswerWithInvalidStatusIsNotPassedOn guards against an answer of a service in trouble that an earlier version has kept, and that its
// caller gets as a complete one or that ends the handler.
func TestKeptAnswerWithInvalidStatusIsNotPassedOn(t *testing.T) {
	for _, status := range []int{0, 20, 99, 101, 600, 999} {
		result := complete("x")
		result.Answer.Status = status
		response := send(t, &fakeBackend{result: result}, http.MethodPost, "/services/records/signoffs", "x")
		require.Equal(t, http.StatusBadGateway, response.StatusCode)
		require.Equal(t, string(request.OutcomeUnknown), response.Header.Get(HeaderOutcome))
		require.NoError(t, response.Body.Close())
	}
}
