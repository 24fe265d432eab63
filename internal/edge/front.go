// Package edge is the HTTP front for clients. It decodes chat requests, submits them to the core of the node and
// streams the responses. It also tracks the client connections, and drains them on shutdown.
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

// chatPath is the URL path of chat requests.
const chatPath = "/v1/chat/completions"

// connectionHeader is the header that tells the client that its connection is closed after the response.
const connectionHeader = "Connection"

// Front serves clients. Its exported fields are set before Handler is called and do not change afterwards. It is safe
// for concurrent use.
type Front struct {
	Core      *node.Core
	Lifecycle *node.Lifecycle
	// Names are the initial names of the classes and tenants in requests; SetNames replaces them.
	Names config.Names
	// BodyLimiter limits the total bytes of request bodies in memory.
	BodyLimiter *node.TenantLimiter
	// MaxRequestIDs is the maximum number of IDs of requests that are remembered at once; 0 for a default.
	MaxRequestIDs int
	// SharedIDs passes the IDs of requests between the processes of this node; nil if there is only one.
	SharedIDs SharedIDs
	Metrics   *metrics.Counters
	// Sessions pauses sessions at tool calls and resumes them with the results; nil disables sessions.
	Sessions *service.Service
	Log      *zap.Logger

	ids     requestIDs
	indexes atomic.Pointer[nameIndexes]
}

// nameIndexes maps the names of classes and tenants to their indexes in the decision module.
type nameIndexes struct {
	classes map[string]int
	tenants map[string]int
}

// Handler returns the front's HTTP handler.
func (f *Front) Handler() http.Handler {
	f.SetNames(f.Names)
	f.ids.maximum = f.MaxRequestIDs
	f.ids.shared = f.SharedIDs
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_health", f.health)
	mux.HandleFunc("POST "+chatPath, f.chat)
	return mux
}

// SetNames replaces the names of the classes and tenants, from the next request on.
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

// ClassName returns the name of the class with the given index; "" if there is none.
func (f *Front) ClassName(class int) string { return nameAt(f.indexes.Load().classes, class) }

// TenantName returns the name of the tenant with the given index; "" if there is none.
func (f *Front) TenantName(tenant int) string { return nameAt(f.indexes.Load().tenants, tenant) }

// nameAt returns the name with the given index; "" if there is none.
func nameAt(indexes map[string]int, index int) string {
	for name, i := range indexes {
		if i == index {
			return name
		}
	}
	return ""
}

// RequestIDs returns the IDs of all open and recent requests, as hashes.
func (f *Front) RequestIDs() []uint64 { return f.ids.known() }

// health responds to the health checks of load balancers in front of this node.
func (f *Front) health(w http.ResponseWriter, r *http.Request) {
	phase := f.Lifecycle.Phase()
	f.setConnectionHeader(w, r, phase)
	// While this process hands over, another process of this node serves.
	if phase != node.Serving && phase != node.HandingOver {
		writeError(w, http.StatusServiceUnavailable, "node is "+phase.String())
		return
	}
	w.WriteHeader(http.StatusOK)
}

// setConnectionHeader makes the response close its connection if clients are to use other nodes: they would keep using
// connections that stay open.
func (f *Front) setConnectionHeader(w http.ResponseWriter, r *http.Request, phase node.Phase) {
	conn, tracked := clientConnOf(r)
	if phase <= node.Serving {
		return
	}
	w.Header().Set(connectionHeader, "close")
	if tracked {
		conn.keepIfPipelined(w.Header())
	}
}
