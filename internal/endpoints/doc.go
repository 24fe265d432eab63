// Package endpoints provides the list of the backends that a node may use, and notifies the core of every change of it.
//
// The list comes from one of three sources: Watcher long-polls the platform's discovery, ServiceSources looks DNS-SD
// services up, and Fixed has a list from the operator's file. From there a list passes through Overrides, which lays
// over it what operators have disabled and enabled by command, and Cache, which persists it for the next start.
package endpoints

import "standpoint/internal/node"

// The sources, as the core uses them.
var (
	_ node.EndpointWatcher = (*Watcher)(nil)
	_ node.EndpointWatcher = (*ServiceSources)(nil)
	_ node.EndpointWatcher = Fixed{}
)
