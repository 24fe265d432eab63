// Package edge is the HTTP front for clients: it decodes chat requests, hands them to the node's core, writes their
// answers as they come, and tracks the client connections, which it drains on shutdown.
package edge

import (
	"net/http"
	"sync/atomic"

	"go.uber.org/zap"

	"standpoint/internal/config"
	"standpoint/internal/fleet/session/service"
	"standpoint/internal/metrics"
	"standpoint/internal/node"
)

const chatPath = "/v1/chat/completions"

// Front serves clients. Its fields are set before Handler is called and stay as they are. It is safe for concurrent
// use.
type Front struct {
	Core      *node.Core
	Lifecycle *node.Lifecycle
	// Names are the classes and tenants that requests may name at first; SetNames changes them.
	Names config.Names
	// Bodies bounds the bytes of request bodies that are held at once.
	Bodies  *node.TenantLimiter
	Metrics *metrics.Counters
	// Sessions pauses sessions at tool calls and resumes them with the results; nil if none are kept.
	Sessions *service.Service
	Log      *zap.Logger

	ids     requestIDs
	indexes atomic.Pointer[nameIndexes]
}

// nameIndexes map the names of classes and tenants to the numbers that the decision module has for them.
type nameIndexes struct {
	classes map[string]int
	tenants map[string]int
}

// Handler returns the front's HTTP handler.
func (f *Front) Handler() http.Handler {
	f.SetNames(f.Names)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_health", f.health)
	mux.HandleFunc("POST "+chatPath, f.chat)
	return mux
}

// SetNames changes the names that requests may give, from the next request on.
func (f *Front) SetNames(names config.Names) {
	f.indexes.Store(&nameIndexes{classes: indexNames(names.Classes), tenants: indexNames(names.Tenants)})
	if f.Metrics != nil {
		f.Metrics.SetClasses(names.Classes)
	}
}

func indexNames(names []string) map[string]int {
	indexes := map[string]int{}
	for i, name := range names {
		indexes[name] = i
	}
	return indexes
}

// ClassName returns the name of a class by its index; "" if there is none.
func (f *Front) ClassName(class int) string {
	for name, i := range f.indexes.Load().classes {
		if i == class {
			return name
		}
	}
	return ""
}

// health answers load balancers before this node.
func (f *Front) health(w http.ResponseWriter, r *http.Request) {
	phase := f.Lifecycle.Phase()
	f.closeUnlessServing(w, r, phase)
	// While this process hands over, another one of this node serves.
	if phase != node.Serving && phase != node.HandingOver {
		writeError(w, http.StatusServiceUnavailable, "node is "+phase.String())
		return
	}
	w.WriteHeader(http.StatusOK)
}

// closeUnlessServing has an answer end its connection once clients are to go elsewhere: they would go on using those
// that stay open.
func (f *Front) closeUnlessServing(w http.ResponseWriter, r *http.Request, phase node.Phase) {
	conn, tracked := clientConnOf(r)
	switch {
	case phase <= node.Serving:
	case tracked && conn.pipelined(): // the next request has come already: it would be read and not answered
		w.Header().Del("Connection")
	default:
		w.Header().Set("Connection", "close")
	}
}
