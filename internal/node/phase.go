package node

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Phase is a named state of the program, from start to exit. What the edge does in each stands in
// docs/architecture.md.
type Phase int

// The phases of the program, in the order in which they usually follow each other.
const (
	Starting        Phase = iota // the list is being seeded; clients are not admitted yet
	Serving                      // clients are admitted
	ManuallyDrained              // staff send clients away; there is a way back
	HandingOver                  // told to stop while another process of this node serves at the same socket
	Draining                     // told to stop: takes what still comes, answers all of it
	Stopped                      // nothing is taken any more
)

// String implements fmt.Stringer.
func (p Phase) String() string {
	return [...]string{"starting", "serving", "drained by hand", "handing over", "draining", "stopped"}[p]
}

// follows says from which phases each may be entered.
var follows = [...][]Phase{
	Serving:         {Starting, ManuallyDrained},
	ManuallyDrained: {Serving},
	HandingOver:     {Serving, ManuallyDrained},
	Draining:        {Starting, Serving, ManuallyDrained},
	Stopped:         {Starting, Serving, ManuallyDrained, HandingOver, Draining},
}

// Lifecycle holds the program's phase.
type Lifecycle struct {
	mu    sync.Mutex
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
	l.phase, l.since = to, time.Now()
	return nil
}
