// Package api implements the HTTP API for callers: the OpenAI-compatible routes for
// models and the routes to plain services. Handlers parse and validate requests and
// write the responses; a Backend decides and executes.
package api

import (
	"context"
	"net/http"
	"time"

	"github.com/kataras/iris/v12"
	iriscontext "github.com/kataras/iris/v12/context"
	"github.com/phuslu/log"

	"github.com/egretreach/egretreach/internal/entry/dispatch"
	"github.com/egretreach/egretreach/internal/fleet/request"
	"github.com/egretreach/egretreach/internal/fleet/team"
	"github.com/egretreach/egretreach/internal/process/httpserver"
)

// Headers of requests and responses, besides the standard ones.
const (
	HeaderRequestID      = "Egretreach-Request-Id"
	HeaderOutcome        = "Egretreach-Outcome"
	HeaderClass          = "Egretreach-Class"
	HeaderTimeout        = "Egretreach-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
	headerTraceParent    = "Traceparent"
)

// MaxHeaderBytes is the default bound of a caller's request header.
const MaxHeaderBytes = 64 << 10

const maxIdempotencyKeyBytes = 256

// Model is one item of the model list.
type Model struct {
	ID      string
	Model   string
	Version string
	Adapter string
}

// Class is a request class with the values that hold for one team.
type Class struct {
	Name     team.Class
	Priority int
	// Timeout applies if the caller sets none.
	Timeout time.Duration
}

// RequestLimits are the limits of a single request of a team.
type RequestLimits struct {
	// MaxBodyBytes bounds the request body, MaxAnswerBytes the answer.
	MaxBodyBytes   int64
	MaxAnswerBytes int64
	// MaxTokens bounds the tokens that one generation produces.
	MaxTokens  int
	MaxTimeout time.Duration
}

// Backend executes the requests that the handlers have parsed.
type Backend interface {
	// Authenticate returns the team of a bearer token.
	Authenticate(token string) (team.ID, bool)
	// Models returns the models that callers may use.
	Models() []Model
	// ResolveModel returns the model with the name that a caller gave.
	ResolveModel(name string) (Model, bool)
	// LookupService reports whether a plain service is known and whether this call of
	// it is idempotent.
	LookupService(name, method, path string) (known, idempotent bool)
	// Configured reports whether the entry has a configuration yet.
	Configured() bool
	// ConfirmConfig returns true once control has confirmed after the call that the configuration in use is the
	// newest, and false if there is no such confirmation before ctx ends.
	ConfirmConfig(ctx context.Context) bool
	// ResolveClass returns a class if the team may use it; an empty name means the
	// team's default.
	ResolveClass(id team.ID, wanted team.Class) (Class, bool)
	// RequestLimits returns the limits of a request of the team.
	RequestLimits(id team.ID) RequestLimits
	// BodyHash returns the hash that identifies a body in the quarantine.
	BodyHash(method, path string, body []byte) uint64
	// Serve executes a request and returns its result, which is a refusal if the
	// request cannot be accepted.
	Serve(ctx context.Context, work dispatch.Work, sink dispatch.Sink) dispatch.Result
}

// API handles the requests of callers. Use New.
type API struct {
	backend Backend
	logger  *log.Logger
}

// New returns the handler for all routes of the API.
func New(backend Backend, logger *log.Logger) (http.Handler, error) {
	a := &API{backend: backend, logger: logger}
	app := iris.New()
	app.Configure(
		iris.WithoutServerError(iris.ErrServerClosed), iris.WithoutStartupLog,
		iris.WithFireMethodNotAllowed, iris.WithoutBodyConsumptionOnUnmarshal, iris.WithoutPathCorrectionRedirection,
	)
	app.Logger().SetLevel("disable")
	app.Get("/v1/models", a.route(a.serveModels))
	app.Post("/v1/completions", a.route(a.serveCompletion))
	app.Post("/v1/chat/completions", a.route(a.serveCompletion))
	app.Any("/services/{service:string}", a.route(a.serveServiceCall))
	app.Any("/services/{service:string}/{path:path}", a.route(a.serveServiceCall))
	app.OnAnyErrorCode(a.route(a.routeNotFound))
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// call is a caller's request while it is being served.
type call struct {
	w      iriscontext.ResponseWriter
	r      *http.Request
	params func(string) string
	status int
	id     request.ID
	team   team.ID
	limits RequestLimits
}

func (a *API) route(handle func(*call)) iris.Handler {
	return func(ctx iris.Context) {
		c := &call{
			w: ctx.ResponseWriter(), r: ctx.Request(), params: ctx.Params().Get,
			status: ctx.GetStatusCode(), id: request.NewID(),
		}
		c.w.Header().Set(HeaderRequestID, c.id.String())
		httpserver.NameRequest(c.r.Context(), c.id.String())
		handle(c)
	}
}

func (a *API) routeNotFound(c *call) {
	code := "no_such_route"
	if c.status == http.StatusMethodNotAllowed {
		code = "method_not_allowed"
	}
	a.writeError(c, errorResponse{status: c.status, code: code, message: "there is nothing at this path for this method"})
}
