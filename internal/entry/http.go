package entry

import (
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/egrethoist/egrethoist/internal/prompt"
	"github.com/egrethoist/egrethoist/internal/world"
)

// maxRequestIDLength is the maximum length in bytes of a request ID set by the caller; longer ones are replaced.
const maxRequestIDLength = 128

// registerRoutes registers the handlers of all paths.
func (e *Entry) registerRoutes(srv *echo.Echo) {
	srv.HTTPErrorHandler = handleError
	srv.Use(e.closeWhenStopping)
	srv.POST("/v1/chat/completions", e.handleModel)
	srv.POST("/v1/completions", e.handleModel)
	srv.GET("/v1/models", e.handleModels)
	srv.GET("/v1/outcomes/:service", e.handleOutcome)
	srv.POST("/v1/tickets/:service", e.handleTicket)
	srv.Any("/v1/services/:service/*", e.handlePlain)
	srv.GET("/healthz", e.handleHealth)
	srv.GET("/readyz", e.handleReady)
	if e.opts.MetricsHandler != nil {
		srv.GET("/metrics", echo.WrapHandler(e.opts.MetricsHandler))
	}
}

// handleError writes the error that a handler returned before any part of the response was written.
func handleError(err error, c echo.Context) {
	var fail *Error
	if errors.As(err, &fail) {
		writeError(c.Response(), requestID(c.Request()), fail)
		return
	}
	c.Echo().DefaultHTTPErrorHandler(err, c)
}

func (e *Entry) handleHealth(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

func (e *Entry) handleReady(c echo.Context) error {
	if e.stopping.Load() {
		return c.String(http.StatusServiceUnavailable, "stopping\n")
	}
	if e.opts.Config.Current() == nil {
		return c.String(http.StatusServiceUnavailable, "no configuration\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (e *Entry) handleModels(c echo.Context) error {
	v, ws, fail := e.authenticate(c.Request())
	if fail != nil {
		return fail
	}
	return c.JSON(http.StatusOK, listModels(v.world, ws))
}

// modelList is the response body of GET /v1/models, in the format of the OpenAI API.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// listModels returns the models that a workspace may use, sorted by name.
func listModels(w *world.World, ws *world.Workspace) modelList {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range slices.Sorted(maps.Keys(w.Services)) {
		s := w.Services[name]
		if s.Kind == world.KindModel && allowed(ws, name) {
			list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "egrethoist"})
		}
	}
	return list
}

func (e *Entry) handleModel(c echo.Context) error {
	req, fail := e.modelRequest(c.Request())
	if fail != nil {
		return fail
	}
	answer := &callerAnswer{w: c.Response()}
	out := &modelSink{
		responder: responder{answer: answer, requestID: req.ID},
		model:     req.Service.Name,
		chat:      strings.HasSuffix(req.Path, "/chat/completions"),
		stream:    req.Stream,
		created:   time.Now().Unix(),
	}
	e.serve(c.Request().Context(), req, out)
	answer.settle()
	return nil
}

func (e *Entry) handlePlain(c echo.Context) error {
	req, fail := e.plainRequest(c.Request(), c.Param("service"), c.Param("*"))
	if fail != nil {
		return fail
	}
	defer req.Body.close(c.Response())
	if !req.Body.complete {
		// By default an HTTP/1.1 server reads the whole body before it responds. HTTP/2 is always full duplex.
		_ = http.NewResponseController(c.Response()).EnableFullDuplex()
	}
	answer := &callerAnswer{w: c.Response()}
	out := &plainSink{responder: responder{answer: answer, requestID: req.ID}, body: req.Body}
	e.serve(c.Request().Context(), req, out)
	answer.settle()
	if c.Request().ProtoMajor == 1 {
		req.Body.drain(c.Request().Context(), c.Response())
	}
	return nil
}

// modelRequest reads, authenticates and validates a model call.
func (e *Entry) modelRequest(r *http.Request) (*Request, *Error) {
	if _, _, fail := e.authenticate(r); fail != nil {
		return nil, fail
	}
	body, err := readWholeBody(r.Body)
	if err != nil {
		return nil, e.invalidBody(err)
	}
	v, ws, fail := e.authenticate(r) // again with the current configuration, since reading the body may have taken long
	if fail != nil {
		return nil, fail
	}
	call, err := prompt.Parse(body)
	if err != nil {
		return nil, notRun(CodeInvalid, "parse body", e.opts.Name, err.Error())
	}
	svc, fail := e.findService(v.world, ws, call.Model, world.KindModel)
	if fail != nil {
		return nil, fail
	}
	if call.Empty {
		return nil, notRun(CodeInvalid, "parse body", e.opts.Name, "neither messages nor prompt is set")
	}
	if call.MaxTokens < 0 {
		return nil, notRun(CodeInvalid, "parse body", e.opts.Name, "max_tokens is negative")
	}
	if call.MaxTokens == 0 {
		call.MaxTokens = defaultMaxTokens
	}
	deadline, fail := e.parseDeadline(r, defaultModelTimeout)
	if fail != nil {
		return nil, fail
	}
	return &Request{
		ID:         requestID(r),
		Workspace:  ws,
		Service:    svc,
		Priority:   modelPriority(r.Header.Get(HeaderPriority), call.MaxTokens),
		Deadline:   deadline,
		Method:     http.MethodPost,
		Path:       r.URL.RequestURI(),
		Header:     forwardedHeader(r.Header),
		Body:       newCompleteBody(body),
		Repeatable: true,
		Stream:     call.Stream,
		Prompt:     call.Text,
		MaxTokens:  call.MaxTokens,
		ReadAt:     time.Now(),
	}, nil
}

// plainRequest authenticates and validates a call of a plain service. rest is the path without the service prefix and
// the leading slash.
func (e *Entry) plainRequest(r *http.Request, service, rest string) (*Request, *Error) {
	if _, _, fail := e.authenticate(r); fail != nil {
		return nil, fail
	}
	body, err := newBody(r)
	if err != nil {
		return nil, e.invalidBody(err)
	}
	v, ws, fail := e.authenticate(r) // again with the current configuration, since reading a short body may have taken long
	if fail != nil {
		return nil, fail
	}
	svc, fail := e.findService(v.world, ws, service, world.KindPlain)
	if fail != nil {
		return nil, fail
	}
	deadline, fail := e.parseDeadline(r, defaultPlainTimeout)
	if fail != nil {
		return nil, fail
	}
	path := "/" + rest
	rule := callRule(svc, r.Method, path)
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return &Request{
		ID:             requestID(r),
		Workspace:      ws,
		Service:        svc,
		Priority:       rule.Priority,
		Deadline:       deadline,
		Method:         r.Method,
		Path:           path,
		Header:         forwardedHeader(r.Header),
		Body:           body,
		Repeatable:     rule.Repeatable,
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		ReadAt:         time.Now(),
	}, nil
}

// findService returns the service of the given kind, or an error if there is none or the workspace may not use it.
func (e *Entry) findService(w *world.World, ws *world.Workspace, name string, kind world.Kind) (*world.Service, *Error) {
	svc := w.Services[name]
	if svc == nil || svc.Kind != kind {
		return nil, notRun(CodeNoService, "find service", e.opts.Name, "no "+string(kind)+" service named "+strconv.Quote(name))
	}
	if !allowed(ws, name) {
		return nil, notRun(CodeForbidden, "authorize", e.opts.Name, "workspace may not use service "+strconv.Quote(name))
	}
	return svc, nil
}

func (e *Entry) invalidBody(err error) *Error {
	return notRun(CodeInvalid, stepReadBody, e.opts.Name, err.Error())
}

// parseDeadline returns the deadline from the timeout header in milliseconds, or now plus fallback if it is not set.
func (e *Entry) parseDeadline(r *http.Request, fallback time.Duration) (time.Time, *Error) {
	value := r.Header.Get(HeaderTimeout)
	if value == "" {
		return time.Now().Add(fallback), nil
	}
	ms, err := strconv.Atoi(value)
	if err != nil || ms <= 0 {
		return time.Time{}, notRun(CodeInvalid, "parse headers", e.opts.Name, HeaderTimeout+" is not a positive number of milliseconds")
	}
	return time.Now().Add(time.Duration(ms) * time.Millisecond), nil
}

// requestID returns the request ID set by the caller. If it is missing or too long, a new ID is generated and stored in the
// request's header, so that later calls return the same one.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestIDLength {
		id = uuid.NewString()
		r.Header.Set(HeaderRequestID, id)
	}
	return id
}

// privateHeaders are not forwarded to targets: credentials, and headers that the entry consumes.
var privateHeaders = []string{
	"Authorization", headerAPIKey, "Content-Length", HeaderRequestID, HeaderTimeout, HeaderPriority,
}

// forwardedHeader returns the headers that are forwarded to the target.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for _, name := range privateHeaders {
		out.Del(name)
	}
	return out
}
