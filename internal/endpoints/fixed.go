package endpoints

import (
	"context"

	"standpoint/internal/node"
)

// Fixed is the source of an endpoint list that does not change while the node runs.
type Fixed struct {
	List   node.EndpointList
	Notify func(node.EndpointList) // called once, by Run
}

// Watch implements node.EndpointWatcher. It does nothing: the list does not change.
func (Fixed) Watch() {}

// Run notifies of the list once, and returns.
func (f Fixed) Run(context.Context) { f.Notify(f.List) }
