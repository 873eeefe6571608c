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

// Bounds of a question for an outcome.
const (
	outcomeTimeout = 4 * time.Second // for the connection to one home and its answer
	maxOutcomeAsks = 8               // homes, the current one first
)

// outcomeBody tells a caller what became of a non-idempotent request.
type outcomeBody struct {
	Service string  `json:"service"`
	Key     string  `json:"idempotency_key"`
	Outcome Outcome `json:"outcome"`
	Running bool    `json:"running"`
	Status  uint32  `json:"status,omitempty"`
	Body    string  `json:"body,omitempty"`
}

// handleOutcome answers GET /v1/outcomes/:service?key=K.
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
	asked := once.Key{Workspace: ws.Name, Service: sv.service.Name, ID: key}
	e.askOutcome(c.Request().Context(), sv.homesOf(v.world, asked, time.Now()), asked, &body)
	return c.JSON(http.StatusOK, body)
}

// plainService finds the caller's workspace and the plain service that the path names, in the view that it returns.
func (e *Entry) plainService(c echo.Context) (*view, *world.Workspace, *serviceView, *Error) {
	v, ws, fail := e.authenticate(c.Request())
	if fail != nil {
		return nil, nil, nil, fail
	}
	svc, fail := e.service(v.world, ws, c.Param("service"), world.KindPlain)
	if fail != nil {
		return nil, nil, nil, fail
	}
	return v, ws, v.services[svc.Name], nil
}

// askOutcome asks the home of the key, and the earlier ones while nobody knows. A key runs at one of them at most, so
// the first that knows is right. Whoever can't be asked leaves the outcome unknown.
func (e *Entry) askOutcome(ctx context.Context, homes []string, key once.Key, body *outcomeBody) {
	for _, target := range homes {
		e.askHome(ctx, target, key, body)
		if body.Running || body.Outcome != OutcomeUnknown || ctx.Err() != nil {
			return
		}
	}
}

// homesOf returns the targets that may know what became of a key, the current home first.
func (sv *serviceView) homesOf(w *world.World, key once.Key, now time.Time) []string {
	if t, err := once.ParseTicket(key.ID); err == nil {
		return []string{t.Target}
	}
	var out []string
	home := sv.homes.HomeOf(key)
	if home != "" {
		out = append(out, home)
	}
	if sv.service.Homes != nil {
		record := once.NewHomes(once.RecordedGenerations(w, sv.service, now)...)
		out = append(out, record.EarlierHomes(key, home)...)
	}
	return out[:min(len(out), maxOutcomeAsks)]
}

// connected waits for a live connection to a target, which may lie outside the entry's subset; nil if there is none
// by the end of ctx.
func (e *Entry) connected(ctx context.Context, target string) *sidecarConn {
	e.demand(target) // once: it makes a new view, which wakes the wait below
	for {
		changed := e.viewer.changes()
		if c := e.pool.get(target); c != nil && c.cond.Load().alive {
			return c
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// askHome asks one target.
func (e *Entry) askHome(ctx context.Context, target string, key once.Key, body *outcomeBody) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	conn := e.connected(ctx, target)
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

// ticketBody is a key that only one sidecar incarnation will ever run.
type ticketBody struct {
	Service string `json:"service"`
	Key     string `json:"idempotency_key"`
	Target  string `json:"target"`
}

// handleTicket answers POST /v1/tickets/:service with a key for one later request.
func (e *Entry) handleTicket(c echo.Context) error {
	_, ws, sv, fail := e.plainService(c)
	if fail != nil {
		return fail
	}
	rng := e.rand.Get().(*rand.Rand)
	defer e.rand.Put(rng)
	now := time.Now()
	choice, err := e.router.Pick(&routing.Request{}, sv.targets, rng, now)
	if err != nil {
		fail := notRun(CodeUnavailable, "pick target", e.opts.Name, err.Error())
		fail.RetryAfter = time.Second
		return fail
	}
	t := e.ticket(choice.Best().Candidate, ws.Name, now, rng)
	return c.JSON(http.StatusOK, ticketBody{Service: sv.service.Name, Key: t.String(), Target: t.Target})
}
