package gateway

import (
	"cmp"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"
)

// rejection is the HTTP status and the reason with which a request is rejected that the configuration does not allow.
type rejection struct {
	status int
	reason string
}

func (r *rejection) Error() string { return r.reason }

var (
	errNoRoute    = &rejection{http.StatusNotFound, "no route for this host and path"}
	errUnknownKey = &rejection{http.StatusUnauthorized, "unknown API key"}
	errNoService  = &rejection{http.StatusServiceUnavailable, "the route's service is not declared"}
)

// admit parses the request's headers, authorizes the request and sets its deadline. If the request is not allowed, admit answers
// the caller and returns false.
func (rq *request) admit() bool {
	call, err := rq.gateway.opts.Protocol.ReadCall(rq.incoming.Header)
	if err != nil {
		rq.fail(http.StatusBadRequest, err.Error())
		return false
	}
	rq.call, rq.answer.lastEventID = call, call.LastEventID
	if call.LastEventID > 0 {
		rq.gateway.metrics.resumed.Inc(1)
	}
	if rejected := rq.authorize(); rejected != nil {
		rq.reject(rejected)
		return false
	}
	limit := rq.route.Timeout
	if call.Timeout > 0 && (limit <= 0 || call.Timeout < limit) {
		limit = call.Timeout
	}
	rq.deadline = rq.arrived.Add(limit)
	return true
}

// authorize looks up the route, the workspace and the service in the request's view. It returns nil if the request is allowed.
func (rq *request) authorize() *rejection {
	path, _, _ := strings.Cut(rq.incoming.RequestURI, "?")
	route := rq.view.catalog.Route(rq.incoming.Host, path)
	// A request that may have run under one route must not be retried under the rules of another one.
	if route == nil || rq.mayHaveRun() && route.Name != rq.route.Name {
		return errNoRoute
	}
	rq.route = route
	if rq.workspace = rq.view.catalog.Workspace(rq.call.APIKey); rq.workspace == nil && !rq.route.Public && rq.view.catalog.RequiresKeys() {
		return errUnknownKey
	}
	rq.urgency = rq.computeUrgency()
	// The attempts of a caller at one stream go to one service.
	name := rq.route.PickService(requestHash(cmp.Or(rq.streamID(), rq.call.ID)))
	switch {
	case rq.answer.begun():
		name = rq.service.Name // part of this service's answer was sent: another service can't continue it
	case rq.pinnedService != "":
		name = rq.pinnedService
	}
	if rq.service = rq.view.services[name]; rq.service == nil {
		return errNoService
	}
	return nil
}

// refreshView moves the request to the newest view. If the configuration no longer allows the request, refreshView ends it and
// returns false.
func (rq *request) refreshView() bool {
	v := rq.gateway.opts.State.current.Load()
	if v == rq.view {
		return true
	}
	sameCatalog := v.catalog == rq.view.catalog
	rq.view, rq.prefix = v, nil
	if sameCatalog {
		rq.service = v.services[rq.service.Name]
		return true
	}
	if rejected := rq.authorize(); rejected != nil {
		rq.endUnanswered(rejected)
		return false
	}
	return true
}

// errStaleChoice is returned when a chosen target must not be used any more: it is no longer in the newest view, it is out of rotation
// or its weights have expired, it has since announced that it leaves, requested a pause or reported a rate limit, or the configuration
// has changed.
var errStaleChoice = errors.New("target or configuration changed before the request was sent")

// errConnectionEnded is returned when the chosen connection ended before the request was sent. It is no sign of a failed target, which closes
// connections that are idle for long.
var errConnectionEnded = errors.New("connection ended before the request was sent")

// mayChooseAgain reports whether an attempt that was not sent because of err says nothing against its target.
func mayChooseAgain(err error) bool {
	return errors.Is(err, errStaleChoice) || errors.Is(err, errConnectionEnded)
}

// revalidate checks the chosen target against the newest metadata just before the request is sent, since the process may have been
// suspended after the choice. It does not wait. It returns errStaleChoice if the target must not be used any more, and the context's
// error if the request has ended.
func (rq *request) revalidate(t *target) error {
	v := rq.gateway.opts.State.current.Load()
	if err := rq.ctx.Err(); err != nil {
		return err
	}
	if t.stats.Blocked(rq.lastResort, time.Now()) {
		return errStaleChoice
	}
	if _, limited := t.limit.rate(time.Now()); limited && rq.gateway.opts.State.bootTime(time.Now()).Sub(rq.grantedAt) > grantTTL {
		return errStaleChoice
	}
	if v.catalog != rq.view.catalog || !v.isUsable(rq.service.Name, t) {
		return errStaleChoice
	}
	if now := time.Now(); rq.service.Engine != nil && slices.Contains(rq.service.Engine.Models, rq.call.Model) && rq.gateway.opts.State.hasExpired(v, t, rq.call.Model, now) {
		rq.gateway.opts.State.replaceView(v, now) // otherwise the target might be chosen again
		return errStaleChoice
	}
	return nil
}

// mayHaveRun reports whether any target may have started to run the request.
func (rq *request) mayHaveRun() bool {
	for _, a := range rq.attempts {
		if !a.sent.IsZero() && a.outcome != attemptNotRun {
			return true
		}
	}
	return false
}

// computeUrgency returns the request's urgency, 0 being the most urgent: ordered by the workspace's priority first and by the
// route's priority within the same workspace priority.
func (rq *request) computeUrgency() int {
	const routePriorities = 3 // route priorities that are distinguished within one workspace priority
	if rq.workspace == nil || !rq.workspace.HasPriority {
		return rq.route.Priority
	}
	return rq.workspace.Priority*routePriorities + min(rq.route.Priority, routePriorities-1)
}

// allowedRegions returns the regions that both the route and the workspace allow; none means that all are allowed.
func (rq *request) allowedRegions() []string {
	if rq.workspace == nil || len(rq.workspace.Regions) == 0 {
		return rq.route.Regions
	}
	if len(rq.route.Regions) == 0 {
		return rq.workspace.Regions
	}
	intersection := []string{}
	for _, a := range rq.route.Regions {
		for _, b := range rq.workspace.Regions {
			if a == b {
				intersection = append(intersection, a)
			}
		}
	}
	if len(intersection) == 0 {
		intersection = append(intersection, "none") // matches no region
	}
	return intersection
}
