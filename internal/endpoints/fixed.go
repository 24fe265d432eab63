package endpoints

import (
	"context"

	"standpoint/internal/node"
)

// Fixed is a source whose endpoint list does not change while the node runs.
type Fixed struct {
	List   node.EndpointList
	Notify func(node.EndpointList) // called once, by Run
}

// Watch implements node.EndpointWatcher. It does nothing, as the list does not change.
func (Fixed) Watch() {}

// Run calls Notify with the list, and returns.
func (f Fixed) Run(context.Context) { f.Notify(f.List) }
