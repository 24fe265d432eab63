package controller

import (
	"slices"
	"strings"
	"time"

	"standpoint/internal/migration"
)

// Status is a node's view of the latest migration.
type Status struct {
	Node      string            `json:"node"`             // name of this node
	Leads     bool              `json:"leads"`            // this node leads the store
	Leader    string            `json:"leader,omitempty"` // ID of the store's leader
	Version   uint64            `json:"version"`          // version of the shares in force on this node
	Migration *migration.Record `json:"move,omitempty"`   // nil if there has been no migration
	Evidence  float64           `json:"evidence"`         // evidence that the new pool is worse; 1 raises the alarm
	Nodes     []NodeStatus      `json:"nodes,omitempty"`  // the nodes that report to this one
}

// NodeStatus is the leader's view of a node.
type NodeStatus struct {
	Name    string  `json:"name"`
	Version uint64  `json:"version"` // version of the shares in force on the node
	Age     float64 `json:"age_s"`   // seconds since its last report
	Lagging bool    `json:"behind"`  // it has not applied the current shares
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
			Lagging: report.lagsBehind(&c.record),
		})
	}
	slices.SortFunc(status.Nodes, func(a, b NodeStatus) int { return strings.Compare(a.Name, b.Name) })
	return status
}
