package gateway

import (
	"errors"
	"net/http"
	"strings"
	"time"
)

// rejection says why the configuration does not allow a request.
type rejection struct {
	status int
	why    string
}

func (r *rejection) Error() string { return r.why }

var (
	errNoRoute   = &rejection{http.StatusNotFound, "no route for this host and path"}
	errNoKey     = &rejection{http.StatusUnauthorized, "unknown API key"}
	errNoService = &rejection{http.StatusServiceUnavailable, "the route's service is not declared"}
)

// admit reads the request's head and authorizes it; it answers the caller and returns false if it is not allowed.
func (rq *request) admit() bool {
	call, err := rq.gateway.opts.Protocol.ReadCall(rq.incoming.Header)
	if err != nil {
		rq.fail(http.StatusBadRequest, err.Error())
		return false
	}
	rq.call, rq.lastEvent = call, call.LastEventID
	if rejected := rq.authorize(); rejected != nil {
		rq.reject(rejected)
		return false
	}
	limit := rq.route.Timeout
	if call.Patience > 0 && (limit <= 0 || call.Patience < limit) {
		limit = call.Patience
	}
	rq.deadline = rq.arrived.Add(limit)
	return true
}

// authorize finds the route, the workspace and the service by the request's view; it returns nil if all are there.
func (rq *request) authorize() *rejection {
	path, _, _ := strings.Cut(rq.incoming.RequestURI, "?")
	route := rq.view.catalog.Route(rq.incoming.Host, path)
	// What may have run under one route must not be repeated by the terms of another.
	if route == nil || rq.mayHaveRun() && route.Name != rq.route.Name {
		return errNoRoute
	}
	rq.route = route
	if rq.workspace = rq.view.catalog.Workspace(rq.call.APIKey); rq.workspace == nil && !rq.route.Public && rq.view.catalog.RequiresKeys() {
		return errNoKey
	}
	rq.urgency = rq.rank()
	name := rq.route.PickService(requestHash(rq.call.ID))
	if rq.started {
		name = rq.service.Name // another service would go on with another answer
	}
	if rq.service = rq.view.services[name]; rq.service == nil {
		return errNoService
	}
	return nil
}

// refresh brings the request to the newest view. If the configuration no longer allows the request, it ends the request
// and returns false.
func (rq *request) refresh() bool {
	v := rq.gateway.opts.State.current.Load()
	if v == rq.view {
		return true
	}
	same := v.catalog == rq.view.catalog
	rq.view, rq.prompt = v, nil
	if same {
		rq.service = v.services[rq.service.Name]
		return true
	}
	if rejected := rq.authorize(); rejected != nil {
		rq.giveUp(rejected)
		return false
	}
	return true
}

// errWithdrawn says that the newest view no longer offers a target, that the target said meanwhile that it wants no request,
// or no more than so many a second, or that the configuration changed by which the request was to be sent.
var errWithdrawn = errors.New("target or configuration changed before the request was sent")

// confirm checks a choice just before the send, by fresh metadata: the process may have stood still since. It returns
// errWithdrawn if the newest view no longer offers the target under the same configuration or the target has declined
// requests meanwhile, and another error if the request is over.
func (rq *request) confirm(t *target) error {
	v := rq.gateway.opts.State.fresh(rq.ctx)
	if err := rq.ctx.Err(); err != nil {
		return err
	}
	if t.stats.Declines(rq.lastResort, time.Now()) {
		return errWithdrawn
	}
	if _, limited := t.meter.rate(time.Now()); limited && time.Since(rq.grantedAt) > grantLife {
		return errWithdrawn
	}
	if v == rq.view || v.catalog == rq.view.catalog && v.offers(rq.service.Name, t) {
		return nil
	}
	return errWithdrawn
}

// mayHaveRun reports whether a target may have begun the request.
func (rq *request) mayHaveRun() bool {
	for _, t := range rq.tries {
		if !t.sent.IsZero() && t.fate != fateNotRun {
			return true
		}
	}
	return false
}

// rank orders requests by the workspace's priority, and by the route's among workspaces of the same.
func (rq *request) rank() int {
	const routeRanks = 3 // told apart within one rank of workspaces
	if rq.workspace == nil || !rq.workspace.HasPriority {
		return rq.route.Priority
	}
	return rq.workspace.Priority*routeRanks + min(rq.route.Priority, routeRanks-1)
}
