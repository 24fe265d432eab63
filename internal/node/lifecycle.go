package node

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Phase is the state of the program between start and exit. docs/architecture.md describes what the HTTP front does in
// each phase.
type Phase int

// The phases of the program, in the order in which they usually follow each other.
const (
	Starting        Phase = iota // waiting for the endpoint list; no client is admitted yet
	Serving                      // clients are admitted
	ManuallyDrained              // drained by an operator, who may undo it
	HandingOver                  // terminating while another process of this node serves on the same socket
	Draining                     // terminating; requests that still arrive are served
	Stopped                      // nothing is accepted any more
)

// String implements fmt.Stringer.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "drained by hand", "handing over", "draining", "stopped"}[p]
}

// predecessors lists, for each phase, the phases from which it may be entered.
var predecessors = [...][]Phase{
	Serving:         {Starting, ManuallyDrained},
	ManuallyDrained: {Serving},
	HandingOver:     {Serving, ManuallyDrained},
	Draining:        {Starting, Serving, ManuallyDrained},
	Stopped:         {Starting, Serving, ManuallyDrained, HandingOver, Draining},
}

// Lifecycle holds the program's current phase. It is safe for concurrent use.
type Lifecycle struct {
	mu        sync.Mutex // guards the fields below
	phase     Phase
	enteredAt time.Time
}

// Phase returns the current phase.
func (l *Lifecycle) Phase() Phase {
	p, _ := l.PhaseSince()
	return p
}

// PhaseSince returns the current phase and the time at which it was entered.
func (l *Lifecycle) PhaseSince() (Phase, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.phase, l.enteredAt
}

// Enter changes the phase. It returns an error if the new phase may not follow the current one.
func (l *Lifecycle) Enter(to Phase) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(predecessors[to], l.phase) {
		return fmt.Errorf("phase %v cannot follow %v", to, l.phase)
	}
	l.phase = to
	l.enteredAt = time.Now()
	return nil
}
