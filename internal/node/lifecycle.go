package node

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Phase is the state of the program, from start to exit. docs/architecture.md has what the HTTP front does in each.
type Phase int

// The phases of the program, in the order in which they usually follow each other.
const (
	Starting        Phase = iota // the endpoint list is awaited; no client is admitted yet
	Serving                      // clients are admitted
	ManuallyDrained              // an operator drains the node, and may undo it
	HandingOver                  // terminating while another process of this node serves at the same socket
	Draining                     // terminating: what still arrives is served
	Stopped                      // nothing is accepted any more
)

// String implements fmt.Stringer.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "drained by hand", "handing over", "draining", "stopped"}[p]
}

// follows lists the phases from which each may be entered.
var follows = [...][]Phase{
	Serving:         {Starting, ManuallyDrained},
	ManuallyDrained: {Serving},
	HandingOver:     {Serving, ManuallyDrained},
	Draining:        {Starting, Serving, ManuallyDrained},
	Stopped:         {Starting, Serving, ManuallyDrained, HandingOver, Draining},
}

// Lifecycle holds the phase of the program. It is safe for concurrent use.
type Lifecycle struct {
	mu    sync.Mutex // guards the rest
	phase Phase
	since time.Time
}

// Phase returns the present phase.
func (l *Lifecycle) Phase() Phase {
	p, _ := l.Since()
	return p
}

// Since returns the present phase and when it was entered.
func (l *Lifecycle) Since() (Phase, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase, l.since
}

// Enter enters another phase.
func (l *Lifecycle) Enter(to Phase) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(follows[to], l.phase) {
		return fmt.Errorf("phase %v cannot follow %v", to, l.phase)
	}
	l.phase = to
	l.since = time.Now()
	return nil
}
