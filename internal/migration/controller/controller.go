// Package controller carries traffic migrations out. On every node a Tracker assigns requests to pools and counts
// what becomes of them, and a Controller follows the stored record of the migration; on the node that leads the store
// the Controller also runs the state machine of package migration with the counts that all nodes report.
package controller

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/migration"
	"standpoint/internal/store"
)

const (
	followInterval = 100 * time.Millisecond // between two reads of the record
	liveTimeout    = 5 * time.Second        // after which a node that sends no report does not count as live
	mailboxSize    = 64                     // messages that may wait
	awaitInterval  = 10 * time.Millisecond  // between two checks whether the store has caught up
)

// Options configure a Controller.
type Options struct {
	Name    string // of this node
	Tracker *Tracker
	Store   store.Store
	// Plan returns the plan of the configuration file in force.
	Plan func() migration.Plan
	// Peers are the control addresses of the store's members, by ID.
	Peers map[string]string
	// Token returns the token that calls to other members carry.
	Token func() string
	// Window is the length of a window; 0 stands for migration.WindowLength.
	Window time.Duration
	// Live is how long after its last report a node counts as live; 0 stands for 5 s.
	Live time.Duration
	Log  *zap.Logger
}

// Controller follows the record of the latest migration, and carries the migration out while this node leads the
// store. Its state belongs to the goroutine of Run; all other methods but AwaitStore send it messages.
type Controller struct {
	options Options
	mailbox chan message
	// reportResults receives how the report to the leader ended; one is sent at a time.
	reportResults chan error
	// sender is the goroutine that sends a report; Run waits for it.
	sender sync.WaitGroup

	version uint64 // of the followed record in the store
	record  migration.Record
	changed chan struct{} // closed when the followed record changes

	// While this node leads.
	term          uint64
	leaderSince   time.Time
	reports       map[string]*nodeReport // by node
	machine       *migration.Machine     // nil while no migration is in progress
	recordVersion uint64                 // of the store's record that the machine continues

	// While another node leads.
	unsent          []Report
	sending         bool
	lastReportError string // logged already
}

// message is what Run receives from other goroutines.
type message interface{ message() }

// commandRequest asks for a command to be carried out.
type commandRequest struct {
	name  string // "start", "plan", or a migration.Command
	start StartRequest
	reply chan commandReply
}

// commandReply is the record after a command, or why it was not carried out.
type commandReply struct {
	record migration.Record
	err    error
}

// statusRequest asks for the status.
type statusRequest struct{ reply chan Status }

// changeRequest asks for a channel that is closed when the followed record changes.
type changeRequest struct{ reply chan chan struct{} }

func (Report) message()         {}
func (commandRequest) message() {}
func (statusRequest) message()  {}
func (changeRequest) message()  {}

// New creates a Controller; Run starts it.
func New(options Options) *Controller {
	if options.Window == 0 {
		options.Window = migration.WindowLength
	}
	if options.Live == 0 {
		options.Live = liveTimeout
	}
	return &Controller{
		options:       options,
		mailbox:       make(chan message, mailboxSize),
		reportResults: make(chan error, 1),
		changed:       make(chan struct{}),
		reports:       map[string]*nodeReport{},
	}
}

// AwaitStore waits until a store that restarts has caught up with what it held, for at most the given time, and then
// follows the record, so that no request is assigned as though there had been no migration. It has to be called
// before Run.
func (c *Controller) AwaitStore(ctx context.Context, maximum time.Duration) {
	restarting, ok := c.options.Store.(interface{ CaughtUp() bool })
	deadline := time.Now().Add(maximum)
	for ok && !restarting.CaughtUp() && ctx.Err() == nil {
		if time.Now().After(deadline) {
			c.options.Log.Warn("store has not caught up, following the migration record as it is")
			break
		}
		time.Sleep(awaitInterval)
	}
	c.follow()
}

// Run works until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	defer c.sender.Wait()
	window := time.NewTicker(c.options.Window)
	defer window.Stop()
	follow := time.NewTicker(min(followInterval, c.options.Window))
	defer follow.Stop()
	c.follow()
	for {
		select {
		case <-ctx.Done():
			return
		case <-follow.C:
			c.follow()
		case <-window.C:
			c.follow()
			c.closeWindow(ctx)
		case err := <-c.reportResults:
			c.reportSent(err)
		case m := <-c.mailbox:
			c.receive(ctx, m)
		}
	}
}

func (c *Controller) receive(ctx context.Context, m message) {
	switch m := m.(type) {
	case Report:
		c.addReport(m)
	case commandRequest:
		record, err := c.execute(ctx, m)
		m.reply <- commandReply{record: record, err: err}
	case statusRequest:
		m.reply <- c.status()
	case changeRequest:
		m.reply <- c.changed
	}
}
