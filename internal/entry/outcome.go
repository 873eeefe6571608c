package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/labstack/echo/v4"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/once"
	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Limits of outcome queries.
const (
	outcomeTimeout  = 4 * time.Second // per home, including the connection
	maxOutcomeHomes = 8               // homes queried per key, starting with the current one
)

// outcomeBody is the JSON response with the outcome of a non-repeatable request.
type outcomeBody struct {
	Service string  `json:"service"`
	Key     string  `json:"idempotency_key"`
	Outcome Outcome `json:"outcome"`
	Running bool    `json:"running"`
	Status  uint32  `json:"status,omitempty"`
	Body    string  `json:"body,omitempty"`
}

// handleOutcome handles GET /v1/outcomes/:service?key=K, which returns the outcome of the request with an idempotency key.
func (e *Entry) handleOutcome(c echo.Context) error {
	v, ws, sv, fail := e.plainService(c)
	if fail != nil {
		return fail
	}
	key := c.QueryParam("key")
	if key == "" {
		return notRun(CodeInvalid, "parse query", e.opts.Name, "key is not set")
	}
	body := outcomeBody{Service: sv.service.Name, Key: key, Outcome: OutcomeUnknown}
	onceKey := once.Key{Workspace: ws.Name, Service: sv.service.Name, ID: key}
	e.queryOutcome(c.Request().Context(), sv.possibleHomes(v.world, onceKey, time.Now()), onceKey, &body)
	return c.JSON(http.StatusOK, body)
}

// plainService authenticates the caller and finds the plain service named in the path. All results are from the same view.
func (e *Entry) plainService(c echo.Context) (*view, *world.Workspace, *serviceView, *Error) {
	v, ws, fail := e.authenticate(c.Request())
	if fail != nil {
		return nil, nil, nil, fail
	}
	svc, fail := e.findService(v.world, ws, c.Param("service"), world.KindPlain)
	if fail != nil {
		return nil, nil, nil, fail
	}
	return v, ws, v.services[svc.Name], nil
}

// queryOutcome queries the homes of a key in order until one knows the outcome, and sets it in body. A key runs at no
// more than one home, so the first known outcome is correct. If a home is not reachable, the outcome stays unknown
// unless another home knows it.
func (e *Entry) queryOutcome(ctx context.Context, homes []string, key once.Key, body *outcomeBody) {
	for _, target := range homes {
		e.queryHome(ctx, target, key, body)
		if body.Running || body.Outcome != OutcomeUnknown || ctx.Err() != nil {
			return
		}
	}
}

// possibleHomes returns the targets that may know the outcome of a key: the target of a ticket, or else the current home
// followed by the recorded earlier ones, at most maxOutcomeHomes.
func (sv *serviceView) possibleHomes(w *world.World, key once.Key, now time.Time) []string {
	if t, err := once.ParseTicket(key.ID); err == nil {
		return []string{t.Target}
	}
	var out []string
	home := sv.homes.HomeOf(key)
	if home != "" {
		out = append(out, home)
	}
	if sv.service.Homes != nil {
		recorded := once.NewHomes(once.RecordedGenerations(w, sv.service, now)...)
		out = append(out, recorded.EarlierHomes(key, home)...)
	}
	return out[:min(len(out), maxOutcomeHomes)]
}

// awaitConnection waits for a live connection to a target, which may be outside the entry's subset. It returns nil if
// ctx ends first.
func (e *Entry) awaitConnection(ctx context.Context, target string) *sidecarConn {
	e.requestConnection(target) // not repeated in the loop: a new connection rebuilds the view, which ends the wait below
	for {
		changed := e.views.changes()
		if c := e.pool.get(target); c != nil && c.condition.Load().alive {
			return c
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// queryHome queries one target and sets the outcome in body if the target knows it.
func (e *Entry) queryHome(ctx context.Context, target string, key once.Key, body *outcomeBody) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	conn := e.awaitConnection(ctx, target)
	if conn == nil {
		return
	}
	resp, err := conn.rpc.Outcome(ctx, connect.NewRequest(&egretv1.OutcomeRequest{
		Service:        key.Service,
		Workspace:      key.Workspace,
		IdempotencyKey: key.ID,
	}))
	if err != nil {
		return
	}
	switch resp.Msg.State {
	case egretv1.OutcomeState_OUTCOME_STATE_RUNNING:
		body.Running = true
	case egretv1.OutcomeState_OUTCOME_STATE_RUN:
		body.Outcome = OutcomeRan
		body.Status = resp.Msg.GetHead().GetStatus()
		body.Body = string(resp.Msg.Body)
	case egretv1.OutcomeState_OUTCOME_STATE_NOT_RUN:
		body.Outcome = OutcomeNotRun
	}
}

// ticketBody is the JSON response with a new ticket: an idempotency key that is only valid at one sidecar incarnation.
type ticketBody struct {
	Service string `json:"service"`
	Key     string `json:"idempotency_key"`
	Target  string `json:"target"`
}

// handleTicket handles POST /v1/tickets/:service, which returns an idempotency key for one later request.
func (e *Entry) handleTicket(c echo.Context) error {
	_, ws, sv, fail := e.plainService(c)
	if fail != nil {
		return fail
	}
	rng := e.rngs.Get().(*rand.Rand)
	defer e.rngs.Put(rng)
	now := time.Now()
	choice, err := e.router.Pick(&routing.Request{}, sv.targets, rng, now)
	if err != nil {
		fail := notRun(CodeUnavailable, "pick target", e.opts.Name, err.Error())
		fail.RetryAfter = time.Second
		return fail
	}
	t := e.newTicket(choice.Best().Candidate, ws.Name, now, rng)
	return c.JSON(http.StatusOK, ticketBody{Service: sv.service.Name, Key: t.String(), Target: t.Target})
}
