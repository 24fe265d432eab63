package endpoints

import (
	"standpoint"
	"standpoint/internal/node"
)

// addressOwners finds entries of processes that have gone although their source still lists them: a process that started
// later is listed at their address. Requests for them would reach the later process, with what is believed of the
// earlier one. The zero value is ready to use. It is not safe for concurrent use.
type addressOwners struct {
	entries    map[string]node.Endpoint     // listed entries that were not removed, by name
	owners     map[string]node.Endpoint     // the latest process at each address
	superseded map[string]supersededProcess // by name
}

// supersededProcess is a process whose address belongs to a later one.
type supersededProcess struct {
	address   string
	startedAt int64
}

// apply marks the entries of superseded processes as draining, and adds those that the list does not mention.
func (o *addressOwners) apply(list *node.EndpointList) {
	if list.Kind == standpoint.ListFull || o.entries == nil {
		o.entries = map[string]node.Endpoint{}
		o.owners = map[string]node.Endpoint{}
	}
	if o.superseded == nil {
		o.superseded = map[string]supersededProcess{}
	}
	mentioned := map[string]bool{}
	var displaced []string
	for _, endpoint := range list.Endpoints {
		mentioned[endpoint.Name] = true
		displaced = append(displaced, o.record(endpoint)...)
	}
	for i := range list.Endpoints {
		endpoint := &list.Endpoints[i]
		if endpoint.State == standpoint.Ready && o.isSuperseded(*endpoint) {
			endpoint.State = standpoint.Draining
		}
	}
	for _, name := range displaced {
		if entry, listed := o.entries[name]; listed && !mentioned[name] {
			entry.State = standpoint.Draining
			list.Endpoints = append(list.Endpoints, entry)
		}
	}
}

// record records an entry, and returns the names of the entries that it supersedes.
func (o *addressOwners) record(endpoint node.Endpoint) (displaced []string) {
	if endpoint.State == standpoint.Removed {
		delete(o.entries, endpoint.Name)
		delete(o.superseded, endpoint.Name)
		return nil
	}
	o.entries[endpoint.Name] = endpoint
	if !o.isSuperseded(endpoint) {
		delete(o.superseded, endpoint.Name)
	}
	if endpoint.Address == "" {
		return nil
	}
	owner, owned := o.owners[endpoint.Address]
	switch {
	case !owned || owner.Name == endpoint.Name:
		o.owners[endpoint.Address] = endpoint
	case endpoint.StartedAt > owner.StartedAt:
		o.owners[endpoint.Address] = endpoint
		if listed, ok := o.entries[owner.Name]; ok && listed.Address == owner.Address && listed.StartedAt == owner.StartedAt {
			o.supersede(listed)
			displaced = append(displaced, owner.Name)
		}
	case endpoint.StartedAt < owner.StartedAt:
		o.supersede(endpoint)
	}
	return displaced
}

func (o *addressOwners) supersede(endpoint node.Endpoint) {
	o.superseded[endpoint.Name] = supersededProcess{endpoint.Address, endpoint.StartedAt}
}

// isSuperseded reports whether the address of an entry's process belongs to a later one.
func (o *addressOwners) isSuperseded(endpoint node.Endpoint) bool {
	process, known := o.superseded[endpoint.Name]
	return known && process == supersededProcess{endpoint.Address, endpoint.StartedAt}
}
