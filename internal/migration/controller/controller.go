// Package controller carries out traffic migrations. On every node a Tracker assigns requests to pools and counts their
// outcomes, and a Controller follows the stored record of the migration. On the node that leads the store the
// Controller also runs the state machine of package migration on the counts that all nodes report.
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
	followInterval     = 100 * time.Millisecond // interval between two reads of the stored record
	defaultLiveTimeout = 5 * time.Second        // time without a report after which a node is not live
	mailboxSize        = 64                     // maximum number of queued messages to Run
	awaitInterval      = 10 * time.Millisecond  // interval between two checks whether the store has caught up
)

// Options configure a Controller.
type Options struct {
	Name    string // name of this node
	Tracker *Tracker
	Store   store.Store
	// Plan returns the migration plan of the configuration file in force.
	Plan func() migration.Plan
	// Peers are the control addresses of the store's members, by ID.
	Peers map[string]string
	// Token returns the token that authenticates calls to other members.
	Token func() string
	// Window is the length of an observation window; 0 stands for migration.WindowLength.
	Window time.Duration
	// LiveTimeout is the time after its last report for which a node counts as live; 0 stands for 5 s.
	LiveTimeout time.Duration
	Log         *zap.Logger
}

// Controller follows the record of the latest migration, and carries the migration out while this node leads the
// store. Its state belongs to the goroutine of Run, to which the handlers of Routes send messages. AwaitStore uses the
// state before Run is called.
type Controller struct {
	options Options
	mailbox chan message
	// reportResults receives the result of each call that sends reports to the leader. Only one call is in flight at a
	// time.
	reportResults chan error
	// sender tracks the goroutine that sends reports; Run waits for it.
	sender sync.WaitGroup

	version uint64 // store version of the followed record
	record  migration.Record
	changed chan struct{} // closed when the followed record changes

	// The following fields are used while this node leads.
	term          uint64                 // term of the leadership; 0 while another node leads
	leaderSince   time.Time              // when this node noticed its leadership
	reports       map[string]*nodeReport // by node name
	machine       *migration.Machine     // nil while no migration is in progress
	recordVersion uint64                 // store version of the record that the machine continues

	// The following fields are used while another node leads.
	unsent          []Report // reports that have not been sent to the leader
	sending         bool     // a call with reports is in flight
	lastReportError string   // last failure of such a call, which has been logged
}

// message is implemented by the messages that Run receives from other goroutines.
type message interface{ message() }

// commandRequest requests that a command be carried out.
type commandRequest struct {
	name  string // "start", "plan", or a migration.Command
	start StartRequest
	reply chan commandReply
}

// commandReply is the record after a command, or the reason why it was not carried out.
type commandReply struct {
	record migration.Record
	err    error
}

// statusRequest requests the status.
type statusRequest struct{ reply chan Status }

// changeRequest requests a channel that is closed when the followed record changes.
type changeRequest struct{ reply chan chan struct{} }

func (Report) message()         {}
func (commandRequest) message() {}
func (statusRequest) message()  {}
func (changeRequest) message()  {}

// New creates a Controller. Run must be called to start it.
func New(options Options) *Controller {
	if options.Window == 0 {
		options.Window = migration.WindowLength
	}
	if options.LiveTimeout == 0 {
		options.LiveTimeout = defaultLiveTimeout
	}
	return &Controller{
		options:       options,
		mailbox:       make(chan message, mailboxSize),
		reportResults: make(chan error, 1),
		changed:       make(chan struct{}),
		reports:       map[string]*nodeReport{},
	}
}

// AwaitStore waits, for at most the given time, until a restarting store has caught up with its state before the
// restart, and then follows the record. Otherwise the first requests would be assigned as if there had been no
// migration. It must be called before Run.
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

// Run processes windows, reports and requests until ctx ends.
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
