package controller

import (
	"slices"
	"strings"
	"time"

	"standpoint/internal/migration"
)

// Status is the state of the latest migration as a node sees it.
type Status struct {
	Node      string            `json:"node"`
	Leads     bool              `json:"leads"`
	Leader    string            `json:"leader,omitempty"`
	Version   uint64            `json:"version"` // of the shares in force on this node
	Migration *migration.Record `json:"move,omitempty"`
	Evidence  float64           `json:"evidence"` // against the new pool; 1 raises the alarm
	Nodes     []NodeStatus      `json:"nodes,omitempty"`
}

// NodeStatus is a node as the leader sees it.
type NodeStatus struct {
	Name    string  `json:"name"`
	Version uint64  `json:"version"`
	Age     float64 `json:"age_s"` // seconds since its last report
	Lagging bool    `json:"behind"`
}

func (c *Controller) status() Status {
	_, leads := c.options.Store.Leadership()
	status := Status{
		Node:    c.options.Name,
		Leads:   leads,
		Leader:  c.options.Store.Leader(),
		Version: c.record.Version,
	}
	if c.record.State != "" {
		record := c.record
		status.Migration = &record
		status.Evidence = record.EvidenceLevel()
	}
	now := time.Now()
	for name, report := range c.reports {
		status.Nodes = append(status.Nodes, NodeStatus{
			Name:    name,
			Version: report.version,
			Age:     now.Sub(report.receivedAt).Seconds(),
			Lagging: report.lags(&c.record),
		})
	}
	slices.SortFunc(status.Nodes, func(a, b NodeStatus) int { return strings.Compare(a.Name, b.Name) })
	return status
}
