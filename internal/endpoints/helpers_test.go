package endpoints

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/node"
)

const (
	ready    = standpoint.Ready
	draining = standpoint.Draining
	gone     = standpoint.Removed
)

// firstVersion is the version of the list that a test's watcher starts with.
const firstVersion = 41

var names = Names{Zones: []string{"a", "b"}, Kinds: []string{"fast", "slow"}}

// states are the states in a list, by the endpoints' names.
type states = map[string]standpoint.State

func statesOf(list node.EndpointList) states {
	all := states{}
	for _, endpoint := range list.Endpoints {
		all[endpoint.Name] = endpoint.State
	}
	return all
}

func endpoint(name string, state standpoint.State, start int64) node.Endpoint {
	return node.Endpoint{Engine: standpoint.Engine{Name: name, State: state, StartedAt: start}}
}

func fullList(all ...node.Endpoint) node.EndpointList {
	return node.EndpointList{Kind: standpoint.ListFull, Endpoints: all}
}

func deltaList(all ...node.Endpoint) node.EndpointList {
	return node.EndpointList{Kind: standpoint.ListDelta, Endpoints: all}
}

// runUntilEnd runs a component until the test ends, and waits for it then.
func runUntilEnd(t *testing.T, run func(context.Context)) {
	t.Helper()
	var running sync.WaitGroup
	running.Go(func() { run(t.Context()) })
	t.Cleanup(running.Wait)
}

// receiver returns a notify function, and the channel to which it sends the lists.
func receiver(t *testing.T) (notify func(node.EndpointList), updates <-chan node.EndpointList) {
	t.Helper()
	lists := make(chan node.EndpointList, 100)
	return func(list node.EndpointList) {
		select {
		case lists <- list:
		case <-t.Context().Done():
		}
	}, lists
}

// receive returns the next list, and fails the test if there is none within 20 s.
func receive(t *testing.T, updates <-chan node.EndpointList) node.EndpointList {
	t.Helper()
	select {
	case list := <-updates:
		return list
	case <-time.After(20 * time.Second):
		t.Fatal("no update")
		return node.EndpointList{}
	}
}

// serve runs a discovery server until the test ends.
func serve(t *testing.T, handle http.HandlerFunc) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

func hostPort(server *httptest.Server) string { return strings.TrimPrefix(server.URL, "http://") }

// watchServer runs a watcher of a discovery until the test ends.
func watchServer(t *testing.T, discovery *httptest.Server) (*Watcher, <-chan node.EndpointList) {
	t.Helper()
	notify, updates := receiver(t)
	w := NewWatcher(hostPort(discovery), names, firstVersion, notify, zap.NewNop())
	runUntilEnd(t, w.Run)
	w.Watch()
	return w, updates
}

// watchScript runs a watcher with short waits. Its discovery handles each poll by a call of script with the number of
// the poll, from 1. If pushed is not 0, it is the watcher's MaxPushedPause. The polls' query strings are sent to the
// second channel.
func watchScript(
	t *testing.T, pushed time.Duration, script func(poll int, w http.ResponseWriter, r *http.Request),
) (updates <-chan node.EndpointList, queries <-chan string) {
	t.Helper()
	received := make(chan string, 100)
	var polls atomic.Int32 // atomic, as a poll that timed out may still be in flight
	discovery := serve(t, func(w http.ResponseWriter, r *http.Request) {
		poll := int(polls.Add(1))
		received <- r.URL.RawQuery
		script(poll, w, r)
	})
	notify, updates := receiver(t)
	w := NewWatcher(hostPort(discovery), names, firstVersion, notify, zap.NewNop())
	w.MaxPushedPause = pushed
	w.watchWait = 300 * time.Millisecond
	w.watchSlack = 100 * time.Millisecond
	runUntilEnd(t, w.Run)
	if pushed == 0 {
		w.Watch()
	}
	return updates, received
}

// respondDraining responds with the change that s is draining.
func respondDraining(w http.ResponseWriter, version int) { fmt.Fprint(w, drainingDelta(version)) }

func drainingDelta(version int) string {
	return fmt.Sprintf(
		`{"seq":%d,"whole":false,"hosts":[{"host":"s","dial":"127.0.0.1:1","health":"draining"}]}`, version)
}

// respondNothing sends no response until the client closes the connection.
func respondNothing(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
