// Package api is what callers see: the OpenAI-compatible routes for models, and the
// routes to plain services. Handlers translate; what is decided is decided below.
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
)

// Headers of requests and answers, besides the usual ones.
const (
	HeaderRequestID      = "Egretreach-Request-Id"
	HeaderOutcome        = "Egretreach-Outcome"
	HeaderClass          = "Egretreach-Class"
	HeaderTimeout        = "Egretreach-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
	headerTraceParent    = "Traceparent"
)

// MaxHeaderBytes bounds a caller's header.
const MaxHeaderBytes = 64 << 10

const maxKeyBytes = 256

// Model is one entry of the model list.
type Model struct {
	ID      string
	Model   string
	Version string
	Adapter string
}

// Class is a request class as one team may use it.
type Class struct {
	Name     team.Class
	Priority int
	// Timeout is in force where the caller gives none.
	Timeout time.Duration
}

// RequestLimits are what one request of a team may be at most.
type RequestLimits struct {
	// MaxBodyBytes and Answer are in bytes; Answer holds for plain services.
	MaxBodyBytes   int64
	MaxAnswerBytes int64
	// MaxTokens bounds the tokens of one generation.
	MaxTokens  int
	MaxTimeout time.Duration
}

// Backend serves what the handlers have read.
type Backend interface {
	// Authenticate returns the team that a bearer token belongs to.
	Authenticate(token string) (team.ID, bool)
	// Models returns the models that may be asked for.
	Models() []Model
	// ResolveModel returns the model that a caller's name stands for.
	ResolveModel(name string) (Model, bool)
	// LookupService reports whether a plain service is known, and whether a call of it is
	// idempotent.
	LookupService(name, method, path string) (known, idempotent bool)
	// Configured reports whether the entry has a configuration at all.
	Configured() bool
	// ResolveClass returns a class that the team may use; empty asks for its default.
	ResolveClass(id team.ID, wanted team.Class) (Class, bool)
	// RequestLimits returns what a request of the team may be at most.
	RequestLimits(id team.ID) RequestLimits
	// BodyHash returns the hash that stands for a body in the quarantine.
	BodyHash(method, path string, body []byte) uint64
	// Serve carries work out. It returns a refusal at once when work cannot be taken.
	Serve(ctx context.Context, work dispatch.Work, sink dispatch.Sink) dispatch.Result
}

// API answers callers. Use New.
type API struct {
	backend Backend
	logger  *log.Logger
}

// New returns the handler of all caller routes.
func New(backend Backend, logger *log.Logger) (http.Handler, error) {
	a := &API{backend: backend, logger: logger}
	app := iris.New()
	app.Configure(
		iris.WithoutServerError(iris.ErrServerClosed), iris.WithoutStartupLog,
		iris.WithFireMethodNotAllowed, iris.WithoutBodyConsumptionOnUnmarshal, iris.WithoutPathCorrectionRedirection,
	)
	app.Logger().SetLevel("disable")
	app.Get("/v1/models", a.route(a.models))
	app.Post("/v1/completions", a.route(a.generate))
	app.Post("/v1/chat/completions", a.route(a.generate))
	app.Any("/services/{service:string}", a.route(a.service))
	app.Any("/services/{service:string}/{path:path}", a.route(a.service))
	app.OnAnyErrorCode(a.route(a.noRoute))
	if err := app.Build(); err != nil {
		return nil, err
	}
	return app, nil
}

// call is one caller's request while it is read and answered.
type call struct {
	w      iriscontext.ResponseWriter
	r      *http.Request
	params func(string) string
	status int
	id     request.ID
	team   team.ID
	bounds RequestLimits
}

func (a *API) route(handle func(*call)) iris.Handler {
	return func(ctx iris.Context) {
		c := &call{
			w: ctx.ResponseWriter(), r: ctx.Request(), params: ctx.Params().Get,
			status: ctx.GetStatusCode(), id: request.NewID(),
		}
		c.w.Header().Set(HeaderRequestID, c.id.String())
		handle(c)
	}
}

func (a *API) noRoute(c *call) {
	code := "no_such_route"
	if c.status == http.StatusMethodNotAllowed {
		code = "method_not_allowed"
	}
	a.refuse(c, refusal{status: c.status, code: code, message: "there is nothing at this path for this method"})
}
