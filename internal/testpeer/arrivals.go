package testpeer

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Arrivals records when requests arrive at backends. It is safe for concurrent use.
type Arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time // by trace ID
}

// NewArrivals returns Arrivals without any.
func NewArrivals() *Arrivals { return &Arrivals{at: map[string][]time.Time{}} }

func (a *Arrivals) add(r *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := r.Header.Get("X-Trace-Id")
	a.at[id] = append(a.at[id], time.Now())
}

// Count returns how often a request has arrived.
func (a *Arrivals) Count(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.at[id])
}

// After returns the requests that arrived after a time.
func (a *Arrivals) After(limit time.Time) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var late []string
	for id, times := range a.at {
		for _, at := range times {
			if at.After(limit) {
				late = append(late, fmt.Sprintf("%s %v later", id, at.Sub(limit)))
			}
		}
	}
	return late
}

// Slowly answers requests after a delay, and records their arrival.
func (a *Arrivals) Slowly(delay time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		a.add(r)
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
		WriteEvent(w, "word")
		WriteStreamEnd(w)
	}
}
