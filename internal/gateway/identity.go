package gateway

import (
	"sync"

	"github.com/egrethoist/egrethoist/internal/quarantine"
)

// requestIdentity is what a request has in common with later ones that are the same: caller, path and body. It is safe for concurrent use.
type requestIdentity struct {
	method, host, uri, caller string
	body                      []byte

	once sync.Once
	part quarantine.Part
}

// newIdentity returns the identity of the request, whose body was read.
func (rq *request) newIdentity() *requestIdentity {
	id := &requestIdentity{method: rq.incoming.Method, host: rq.incoming.Host, uri: rq.incoming.RequestURI, body: rq.body}
	if rq.workspace != nil {
		id.caller = rq.workspace.Name
	}
	return id
}

// get returns the part that stands for the request. It hashes the body at the first call.
func (id *requestIdentity) get() quarantine.Part {
	id.once.Do(func() { id.part = quarantine.RequestPart(id.method, id.host, id.uri, id.caller, id.body) })
	return id.part
}
