package engine

import (
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"lukechampine.com/blake3"

	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/engine/wire"
)

// eventPoll is how often a waiting reader of cache events looks again.
const eventPoll = 20 * time.Millisecond

func (e *Engine) routes() *http.ServeMux {
	m := http.NewServeMux()
	m.HandleFunc("POST "+wire.PathCompletions, e.complete)
	m.HandleFunc("POST "+wire.PathChatCompletions, e.complete)
	m.HandleFunc("GET "+wire.PathModels, e.models)
	m.HandleFunc("GET "+wire.PathLoad, func(w http.ResponseWriter, _ *http.Request) { reply(w, e.loadReport()) })
	m.HandleFunc("GET "+wire.PathCacheEvents, e.cacheEvents)
	m.HandleFunc("GET "+wire.PathCacheBlocks, e.cacheList)
	m.HandleFunc("GET "+wire.PathCacheBlocks+"/{digest}", e.exportBlock)
	m.HandleFunc("PUT "+wire.PathCacheBlocks+"/{digest}", e.importBlock)
	m.HandleFunc("POST "+wire.PathOrders, e.order)
	m.HandleFunc("GET "+wire.PathHealth, func(http.ResponseWriter, *http.Request) {})
	return m
}

// ServeHTTP answers like a model server. A crashed engine cuts the connection, a frozen one holds it.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	down, thaw, name := e.down, e.thaw, e.incarnationName()
	e.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-thaw:
	case <-r.Context().Done():
		return
	}
	w.Header().Set(wire.HeaderIncarnation, name)
	e.mux.ServeHTTP(w, r)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(wire.Encode(v))
}

func refuse(w http.ResponseWriter, status int, kind, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(wire.HeaderNotRun, "true")
	w.WriteHeader(status)
	_, _ = w.Write(wire.Encode(wire.Error{Error: wire.ErrorDetail{Message: message, Type: kind}}))
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	versions := slices.Clone(e.versions)
	e.mu.Unlock()
	list := modelList{Object: "list"}
	for _, v := range versions {
		list.Data = append(list.Data, model{ID: v, Object: "model"})
	}
	reply(w, list)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		e.mu.Lock()
		page := e.cache.page(after, e.faults.EventDelay)
		page.Incarnation = e.incarnationName()
		e.mu.Unlock()
		if len(page.Events) > 0 || page.First > after || !time.Now().Before(deadline) {
			reply(w, page)
			return
		}
		select {
		case <-time.After(eventPoll):
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) cacheList(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	page := e.cache.all()
	page.Incarnation = e.incarnationName()
	e.mu.Unlock()
	reply(w, page)
}

func (e *Engine) exportBlock(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	entry, ok := e.cache.get(r.PathValue("digest"))
	e.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	data := BlockData(entry.digest, e.opts.BlockBytes)
	sum := blake3.Sum256(data)
	w.Header().Set(wire.HeaderBlockSum, hex.EncodeToString(sum[:]))
	w.Header().Set(wire.HeaderBlockVersion, entry.version)
	w.Header().Set(wire.HeaderBlockSalt, entry.salt)
	_, _ = w.Write(data)
}

func (e *Engine) importBlock(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, int64(e.opts.BlockBytes)+1))
	sum := blake3.Sum256(data)
	e.mu.Lock()
	defer e.mu.Unlock()
	whole := err == nil && len(data) == e.opts.BlockBytes && r.Header.Get(wire.HeaderBlockSum) == hex.EncodeToString(sum[:])
	if !whole {
		e.counts.BadImports++
		refuse(w, http.StatusUnprocessableEntity, "block", "block is partly written or its sum is wrong")
		return
	}
	version := r.Header.Get(wire.HeaderBlockVersion)
	if !slices.Contains(e.versions, version) {
		refuse(w, http.StatusConflict, "version", "weight version is not loaded")
		return
	}
	digest := r.PathValue("digest")
	if string(data) != string(BlockData(digest, e.opts.BlockBytes)) {
		e.imported[digest] = true
	}
	e.cache.add(cacheEntry{digest: digest, version: version, salt: r.Header.Get(wire.HeaderBlockSalt)})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o wire.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		refuse(w, http.StatusBadRequest, "order", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	stale := o.Fence < e.fence
	if stale && e.opts.ChecksFence {
		refuse(w, http.StatusConflict, "fence", "old fencing number")
		return
	}
	e.fence = max(e.fence, o.Fence)
	e.orders = append(e.orders, OrderRecord{Order: engine.Order(o), At: time.Now(), Stale: stale})
	e.carryOut(o)
	w.WriteHeader(http.StatusAccepted)
}

func (e *Engine) carryOut(o wire.Order) {
	switch o.Action {
	case engine.OrderLoadVersion:
		e.loading++
		incarnation := e.incarnation
		e.work.Go(func() { e.loadVersion(o.Version, incarnation) })
	case engine.OrderUnloadVersion:
		e.versions = slices.DeleteFunc(e.versions, func(v string) bool { return v == o.Version })
		e.cache.dropVersion(o.Version)
	case engine.OrderSetRole:
		e.role = o.Role
	}
}

// loadVersion loads weights and evicts the oldest version if too many are held.
func (e *Engine) loadVersion(version string, incarnation int) {
	e.opts.Loaders.load(e.opts.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading--
	if e.incarnation != incarnation || e.down || slices.Contains(e.versions, version) {
		return
	}
	e.versions = append(e.versions, version)
	for len(e.versions) > e.opts.MaxVersions {
		e.cache.dropVersion(e.versions[0])
		e.versions = e.versions[1:]
	}
}
