package controller

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/migration"
	"standpoint/internal/store"
)

// Keys of the store.
const (
	currentKey    = "move/current"  // record of the latest migration
	historyPrefix = "move/history/" // prefix of the records of migrations that are over
)

// maxHistory is the maximum number of migrations in the history.
const maxHistory = 50

// follow applies the stored record. Every node, including the leader, applies only what is stored. A store that has no
// record yet or has lost its quorum changes nothing here.
func (c *Controller) follow() {
	stored := c.options.Store.Get(currentKey)
	if stored.Version == c.version || stored.Version == 0 {
		return
	}
	var record migration.Record
	if err := json.Unmarshal(stored.Data, &record); err != nil {
		c.options.Log.Error("migration record is not readable, shares stay in force",
			zap.String("key", currentKey), zap.Error(err))
		c.version = stored.Version
		return
	}
	if record.ID != c.record.ID || record.Version != c.record.Version || record.State != c.record.State {
		c.logRecord(&record)
	}
	c.version = stored.Version
	c.record = record
	c.options.Tracker.Follow(record)
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *Controller) logRecord(record *migration.Record) {
	c.options.Log.Info("migration changed",
		zap.String("id", record.ID),
		zap.String("from", record.Plan.From),
		zap.String("to", record.Plan.To),
		zap.String("state", string(record.State)),
		zap.Float64("share", record.Shares.Share),
		zap.Uint64("version", record.Version))
}

// checkLeadership reports whether this node leads the store. When a new leadership begins, it resumes the migration in
// progress.
func (c *Controller) checkLeadership() bool {
	term, leads := c.options.Store.Leadership()
	if !leads || term != c.term {
		c.machine = nil
		c.reports = map[string]*nodeReport{}
		c.term = 0
	}
	if !leads {
		return false
	}
	if c.term != term {
		c.term = term
		c.leaderSince = time.Now()
	}
	c.follow()
	if c.machine == nil && c.record.State != "" && !c.record.State.Terminal() {
		c.resumeMachine()
	}
	return true
}

// resumeMachine continues the migration of the followed record.
func (c *Controller) resumeMachine() {
	c.machine = migration.Resume(c.record)
	c.recordVersion = c.version
}

// persist stores the machine's record, which puts it in force on all nodes including this one. If that fails, for
// example because another node has changed the record in the meantime, the machine is discarded; the current leader
// resumes from the stored record.
func (c *Controller) persist(ctx context.Context) error {
	record := c.machine.Record()
	version, err := c.writeRecord(ctx, &record)
	if err != nil {
		c.machine = nil
		c.options.Log.Warn("migration record not stored", zap.String("id", record.ID), zap.Error(err))
		return err
	}
	c.recordVersion = version
	if record.State.Terminal() {
		c.machine = nil
	}
	c.follow()
	return nil
}

func (c *Controller) writeRecord(ctx context.Context, record *migration.Record) (uint64, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	operations := []store.Op{{Key: currentKey, Data: data, ExpectedVersion: c.recordVersion}}
	if record.State.Terminal() {
		operations = append(operations, c.archive(record.ID, data)...)
	}
	return c.options.Store.Write(ctx, operations...)
}

// archive returns the store operations that add a migration to the history and delete the oldest ones beyond
// maxHistory.
func (c *Controller) archive(id string, data []byte) []store.Op {
	key := historyPrefix + id
	operations := []store.Op{{Key: key, Data: data, ExpectedVersion: store.AnyVersion}}
	others := slices.DeleteFunc(c.options.Store.List(historyPrefix), func(k string) bool { return k == key })
	for len(others) >= maxHistory {
		operations = append(operations, store.Op{Key: others[0], ExpectedVersion: store.AnyVersion})
		others = others[1:]
	}
	return operations
}
