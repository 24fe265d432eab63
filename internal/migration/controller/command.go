package controller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"standpoint/internal/control"
	"standpoint/internal/migration"
	"standpoint/internal/pool"
)

// The calls that make a new plan; every other command is a migration.Command.
const (
	startCommand = "start" // start a migration
	planCommand  = "plan"  // show the migration that a start would begin
)

// StartRequest is the body of a start. What it leaves out is taken from the configuration's plan.
type StartRequest struct {
	From        string    `json:"from,omitempty"` // empty: the pool that has the largest share
	To          string    `json:"to"`
	Steps       []float64 `json:"steps,omitempty"`
	Hold        string    `json:"hold,omitempty"` // a duration such as 30s, as those below
	Warm        string    `json:"warm,omitempty"`
	Trickle     float64   `json:"trickle,omitempty"`
	Samples     int       `json:"samples,omitempty"`
	Floor       float64   `json:"floor,omitempty"`
	OnWorse     string    `json:"on_worse,omitempty"`
	ReturnEvery string    `json:"return_every,omitempty"`
	By          string    `json:"by,omitempty"`
	Note        string    `json:"note,omitempty"`
}

// execute carries out an operator's command.
func (c *Controller) execute(ctx context.Context, request commandRequest) (migration.Record, error) {
	if request.name == planCommand {
		machine, err := c.newMachine(request.start, c.record.Shares)
		if err != nil {
			return migration.Record{}, err
		}
		return machine.Record(), nil
	}
	if !c.takeLead() {
		return migration.Record{}, c.notLeader()
	}
	if err := c.applyCommand(request); err != nil {
		return migration.Record{}, err
	}
	record := c.machine.Record()
	if err := c.persist(ctx); err != nil {
		return migration.Record{}, fmt.Errorf("not recorded, and so not done: %w", err)
	}
	return record, nil
}

// applyCommand applies a command to the machine, whose record is then to be stored.
func (c *Controller) applyCommand(request commandRequest) error {
	if request.name == startCommand {
		return c.applyStart(request.start)
	}
	if c.record.State == "" {
		return &control.Error{
			Status:  http.StatusNotFound,
			Code:    control.CodeNoMigration,
			Message: "no move was ever started",
		}
	}
	if c.machine == nil {
		c.resumeMachine()
	}
	if err := c.machine.Execute(time.Now(), migration.Command(request.name)); err != nil {
		if c.record.State.Terminal() {
			c.machine = nil
		}
		return &control.Error{Status: http.StatusConflict, Code: control.CodeNotNow, Message: err.Error()}
	}
	return nil
}

func (c *Controller) applyStart(start StartRequest) error {
	if c.machine != nil {
		running := &c.record
		return &control.Error{
			Status: http.StatusConflict,
			Code:   control.CodeMigrationRunning,
			Message: fmt.Sprintf("move %s from %s to %s is %s; undo it, or wait until it is over",
				running.ID, running.Plan.From, running.Plan.To, running.State),
		}
	}
	machine, err := c.newMachine(start, c.record.Shares)
	if err != nil {
		return err
	}
	c.machine = machine
	c.recordVersion = c.version
	return nil
}

// notLeader is the error of a call that only the leader of the store can answer.
func (c *Controller) notLeader() error {
	leader := c.options.Peers[c.options.Store.Leader()]
	if leader == "" {
		return &control.Error{
			Status:  http.StatusServiceUnavailable,
			Code:    control.CodeNotLeader,
			Message: "the store has no leader now",
		}
	}
	return &control.Error{
		Status:  http.StatusMisdirectedRequest,
		Code:    control.CodeNotLeader,
		Message: "another member carries moves on",
		Leader:  leader,
	}
}

// newMachine plans a migration on top of the shares in force.
func (c *Controller) newMachine(start StartRequest, base pool.Shares) (*migration.Machine, error) {
	plan, err := start.plan(c.options.Plan())
	if err != nil {
		return nil, err
	}
	tracker := c.options.Tracker
	pools := tracker.pools()
	if plan.From == "" {
		plan.From = largestPool(pools, base)
	}
	if err := checkPools(pools, &plan); err != nil {
		return nil, err
	}
	now := time.Now()
	id := fmt.Sprintf("m-%s", now.UTC().Format("20060102-150405.000"))
	from := tracker.Health(plan.From, now)
	to := tracker.Health(plan.To, now)
	machine, err := migration.Start(id, plan, pool.Shares{Moved: base.Moved}, from, to, now)
	var planError *migration.PlanError
	if errors.As(err, &planError) {
		return nil, badPlan(planError.Key, "%s", planError.Reason)
	}
	if err != nil {
		return nil, err
	}
	machine.SetAuthor(start.By, start.Note)
	return machine, nil
}

// badPlan is the error of a start that cannot be carried out as asked.
func badPlan(key, format string, args ...any) error {
	return &control.Error{
		Status:  http.StatusBadRequest,
		Code:    control.CodeBadPlan,
		Key:     key,
		Message: fmt.Sprintf(format, args...),
	}
}

// checkPools reports the first pool of the plan that does not exist.
func checkPools(pools *pool.Set, plan *migration.Plan) error {
	for _, end := range []struct{ key, name string }{{"from", plan.From}, {"to", plan.To}} {
		if pools.Number(end.name) != 0 {
			continue
		}
		var names []string
		for _, definition := range pools.Definitions() {
			names = append(names, definition.Name)
		}
		return badPlan(end.key, "%q is no pool; there are: %s", end.name, strings.Join(names, ", "))
	}
	return nil
}

// largestPool is the pool that has the largest share of the requests now.
func largestPool(pools *pool.Set, base pool.Shares) string {
	shares := map[string]float64{}
	largest := ""
	for _, definition := range pools.Definitions() {
		name := definition.Name
		if successor, ok := base.Moved[name]; ok && pools.Number(successor) != 0 {
			name = successor
		}
		shares[name] += definition.Share
		if largest == "" || shares[name] > shares[largest] {
			largest = name
		}
	}
	return largest
}

// plan lays the request over the plan of the configuration.
func (s StartRequest) plan(plan migration.Plan) (migration.Plan, error) {
	plan.From = s.From
	plan.To = s.To
	if s.Steps != nil {
		plan.Steps = s.Steps
		if len(s.Steps) > 0 {
			plan.WarmUpShare = min(plan.WarmUpShare, s.Steps[0])
		}
	}
	for _, duration := range []struct {
		key    string
		text   string
		target *time.Duration
	}{
		{"hold", s.Hold, &plan.MinHold},
		{"warm", s.Warm, &plan.MinWarmUp},
		{"return_every", s.ReturnEvery, &plan.ReturnEvery},
	} {
		if duration.text == "" {
			continue
		}
		value, err := time.ParseDuration(duration.text)
		if err != nil {
			return plan, badPlan(duration.key, "%q is no span such as 30s", duration.text)
		}
		*duration.target = value
	}
	if s.Trickle != 0 {
		plan.WarmUpShare = s.Trickle
	}
	if s.Samples != 0 {
		plan.MinSamples = s.Samples
	}
	if s.Floor != 0 {
		plan.OnTimeFloor = s.Floor
	}
	if s.OnWorse != "" {
		plan.OnWorse = s.OnWorse
	}
	return plan, nil
}
