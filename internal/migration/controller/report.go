package controller

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/control"
	"standpoint/internal/migration"
)

const (
	maxNodes      = 64              // whose reports are taken
	reportTimeout = 2 * time.Second // for one call with reports
	maxBacklog    = 5               // windows that a node keeps for a leader that does not answer
)

// Report is what a node reports to the leader of the store: what it saw in one window of a migration.
type Report struct {
	Node      string               `json:"node"`
	Migration string               `json:"move"`
	Version   uint64               `json:"version"` // of the shares that the node has in force
	Digest    uint64               `json:"digest"`  // of its pools
	From      migration.PoolWindow `json:"from"`
	To        migration.PoolWindow `json:"to"`
}

// nodeReport is the latest report of a node, and what it saw since the last merged window.
type nodeReport struct {
	receivedAt time.Time
	migration  string
	version    uint64
	digest     uint64
	from       migration.PoolWindow
	to         migration.PoolWindow
}

// lags reports whether the node does not follow a record.
func (r *nodeReport) lags(record *migration.Record) bool {
	return r.migration != record.ID || r.version != record.Version
}

// closeWindow ends a window: this node's counts go to the leader, or, if this node leads, into the machine together
// with what the other nodes have reported.
func (c *Controller) closeWindow(ctx context.Context) {
	now := time.Now()
	from, to := c.options.Tracker.TakeWindow(now)
	own := Report{
		Node:      c.options.Name,
		Migration: c.record.ID,
		Version:   c.record.Version,
		Digest:    c.options.Tracker.Digest(),
		From:      from,
		To:        to,
	}
	if !c.takeLead() {
		c.sendReport(ctx, own)
		return
	}
	c.unsent = nil
	c.addReport(own)
	if c.machine == nil || !c.knowsLiveNodes(now) {
		return
	}
	window := c.mergeWindow(now)
	if c.machine.Observe(now, window) {
		// A failure is logged by persist, and the machine resumes from the stored record with the next window.
		_ = c.persist(ctx)
	}
}

// knowsLiveNodes reports whether a leader can tell which nodes are live: it has heard all members, or has led for as
// long as a silent node counts as live.
func (c *Controller) knowsLiveNodes(now time.Time) bool {
	return len(c.reports) >= len(c.options.Peers) || now.Sub(c.leaderSince) >= c.options.Live
}

// addReport takes a report in.
func (c *Controller) addReport(report Report) {
	node := c.reports[report.Node]
	if node == nil {
		if len(c.reports) >= maxNodes {
			return
		}
		node = &nodeReport{}
		c.reports[report.Node] = node
	}
	node.receivedAt = time.Now()
	node.migration = report.Migration
	node.version = report.Version
	node.digest = report.Digest
	if report.Migration != c.record.ID {
		return
	}
	node.from = node.from.Add(report.From)
	node.to = node.to.Add(report.To)
	// Of several windows the latest health counts, not the worst.
	node.from.Health = report.From.Health
	node.to.Health = report.To.Health
}

// mergeWindow combines what all live nodes have reported since the last call.
func (c *Controller) mergeWindow(now time.Time) migration.Window {
	var window migration.Window
	digest := c.options.Tracker.Digest()
	for name, node := range c.reports {
		if now.Sub(node.receivedAt) > c.options.Live {
			delete(c.reports, name)
			c.options.Log.Warn("node sends no reports, migration continues without it", zap.String("node", name))
			continue
		}
		window.Nodes++
		if node.digest != digest { // its counts are of other pools
			window.Lagging = append(window.Lagging, name+" (its pools differ)")
			node.from = migration.PoolWindow{}
			node.to = migration.PoolWindow{}
			continue
		}
		if node.lags(&c.record) {
			window.Lagging = append(window.Lagging, name)
		}
		window.From = window.From.Add(node.from)
		window.To = window.To.Add(node.to)
		node.from = migration.PoolWindow{Health: node.from.Health}
		node.to = migration.PoolWindow{Health: node.to.Health}
	}
	slices.Sort(window.Lagging)
	return window
}

// sendReport sends this node's windows to the leader, one call at a time.
func (c *Controller) sendReport(ctx context.Context, own Report) {
	c.unsent = append(c.unsent, own)
	if excess := len(c.unsent) - maxBacklog; excess > 0 {
		c.unsent = slices.Delete(c.unsent, 0, excess)
	}
	address := c.options.Peers[c.options.Store.Leader()]
	if c.sending || address == "" {
		return
	}
	c.sending = true
	batch := slices.Clone(c.unsent)
	c.unsent = nil
	c.sender.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		client := control.NewClient(address, c.options.Token())
		defer client.Close()
		c.reportResults <- client.Call(ctx, http.MethodPost, "/v1/move/report", batch, nil)
	})
}

// reportSent notes how a call with reports ended. A failure is logged once until another one follows.
func (c *Controller) reportSent(err error) {
	c.sending = false
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text != c.lastReportError && text != "" {
		c.options.Log.Warn("migration report not delivered, shares stay in force", zap.Error(err))
	}
	c.lastReportError = text
}
