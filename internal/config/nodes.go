package config

import "time"

// Nodes is the section [nodes]: how the nodes of an installation find and count each other by DNS-SD.
type Nodes struct {
	Server      string   `toml:"server"` // of DNS, host:port; "" switches it off
	Service     string   `toml:"service"`
	Domain      string   `toml:"domain"`
	Publish     bool     `toml:"publish"` // this node registers itself by DNS UPDATE; else somebody else publishes it
	Lease       Duration `toml:"lease"`   // of its record
	ShrinkDelay Duration `toml:"hold"`    // for which a smaller number must last before it counts
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
