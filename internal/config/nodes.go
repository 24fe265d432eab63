package config

import "time"

// Nodes is the section [nodes]: how the nodes of an installation discover and count each other by DNS-SD.
type Nodes struct {
	Server  string `toml:"server"`  // address of the DNS server, host:port; "" disables the discovery of nodes
	Service string `toml:"service"` // DNS-SD service type, such as "_standpoint._tcp"
	Domain  string `toml:"domain"`  // DNS domain of the service
	// Publish has this node register itself by DNS UPDATE. Without it the operator publishes the node's record.
	Publish bool     `toml:"publish"`
	Lease   Duration `toml:"lease"` // lifetime of the node's record unless it is renewed
	// ShrinkDelay is how long a smaller number of nodes must last before it takes effect.
	ShrinkDelay Duration `toml:"hold"`
}

func (n *Nodes) setDefaults() {
	setDefault(&n.Service, "_standpoint._tcp")
	setDefault(&n.Lease, Duration(30*time.Second))
	setDefault(&n.ShrinkDelay, Duration(10*time.Second))
}

func (n *Nodes) validate() error {
	if n.Server == "" {
		if n.Publish {
			return keyError("nodes.server", "missing")
		}
		return nil
	}
	browse := Browse{Server: n.Server, Service: n.Service, Domain: n.Domain, Updates: UpdatesPoll}
	if err := browse.validate("nodes."); err != nil {
		return err
	}
	if !n.Lease.between(2*time.Second, time.Hour) {
		return keyError("nodes.lease", "%v is not from 2s to 1h", time.Duration(n.Lease))
	}
	if n.ShrinkDelay < 0 {
		return keyError("nodes.hold", "%v is negative", time.Duration(n.ShrinkDelay))
	}
	return nil
}
