// Package endpoints maintains the list of backends that a node may use, and notifies the core of each change.
//
// The list has one of three sources: Watcher long-polls the platform's discovery service, ServiceSources looks up
// DNS-SD services, and Fixed holds a static list from the operator's file. Each list then passes through Overrides,
// which applies the operators' commands to disable or enable a backend, and Cache, which persists it for the next
// start of the process.
package endpoints

import "standpoint/internal/node"

// Each source implements the interface that the core uses.
var (
	_ node.EndpointWatcher = (*Watcher)(nil)
	_ node.EndpointWatcher = (*ServiceSources)(nil)
	_ node.EndpointWatcher = Fixed{}
)
