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
	maxNodes      = 64              // maximum number of nodes whose reports are accepted
	reportTimeout = 2 * time.Second // timeout of one call with reports
	maxBacklog    = 5               // maximum number of windows that a node buffers for an unresponsive leader
)

// Report is a node's report on one window of a migration to the leader of the store.
type Report struct {
	Node      string               `json:"node"`    // name of the node
	Migration string               `json:"move"`    // ID of the migration that the node follows
	Version   uint64               `json:"version"` // version of the shares in force on the node
	Digest    uint64               `json:"digest"`  // Tracker.Digest of the node's pools
	From      migration.PoolWindow `json:"from"`
	To        migration.PoolWindow `json:"to"`
}

// nodeReport holds the metadata of a node's latest report and its counts since the last merged window.
type nodeReport struct {
	receivedAt time.Time
	migration  string // ID of the migration that the node follows
	version    uint64
	digest     uint64
	from       migration.PoolWindow
	to         migration.PoolWindow
}

// lagsBehind reports whether the node has not applied the current version of a record.
func (r *nodeReport) lagsBehind(record *migration.Record) bool {
	return r.migration != record.ID || r.version != record.Version
}

// closeWindow ends a window. The node's counts are sent to the leader or, if this node leads, passed to the machine
// together with the reports of the other nodes.
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
	if !c.checkLeadership() {
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
		// persist logs a failure, and the migration is resumed from the stored record in the next window.
		_ = c.persist(ctx)
	}
}

// knowsLiveNodes reports whether a leader can decide which nodes are live: it has reports of all members, or has led
// for the time for which a silent node counts as live.
func (c *Controller) knowsLiveNodes(now time.Time) bool {
	return len(c.reports) >= len(c.options.Peers) || now.Sub(c.leaderSince) >= c.options.LiveTimeout
}

// addReport adds a node's report to the counts of the current window. The counts of a node that follows another
// migration are ignored.
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
	// If several windows are combined, the latest health applies, not the merged one.
	node.from.Health = report.From.Health
	node.to.Health = report.To.Health
}

// mergeWindow combines the reports of all live nodes since the last call. Nodes whose pools are defined differently
// only count as lagging.
func (c *Controller) mergeWindow(now time.Time) migration.Window {
	var window migration.Window
	digest := c.options.Tracker.Digest()
	for name, node := range c.reports {
		if now.Sub(node.receivedAt) > c.options.LiveTimeout {
			delete(c.reports, name)
			c.options.Log.Warn("node sends no reports, migration continues without it", zap.String("node", name))
			continue
		}
		window.Nodes++
		if node.digest != digest { // its pools are defined differently, so its counts cannot be used
			window.Lagging = append(window.Lagging, name+" (its pools differ)")
			node.from = migration.PoolWindow{}
			node.to = migration.PoolWindow{}
			continue
		}
		if node.lagsBehind(&c.record) {
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

// sendReport sends this node's unsent windows to the leader unless a call is in flight. Windows whose call fails are
// not sent again.
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

// reportSent handles the result of a call with reports. A failure is logged only if it differs from the previous one.
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
