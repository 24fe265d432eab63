package config

import (
	"crypto/x509"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"
)

const maxBrowses = 32

// updateMethods are the values of a browse's news.
var updateMethods = []string{"auto", "poll", "push", "mdns"}

func (o *OperatorFile) validateBrowses() error {
	e := &o.Endpoints
	prefix := func(i int) string { return fmt.Sprintf("entries.browse[%d].", i) }
	if len(e.Browse) == 0 {
		e.Browse = []Browse{{Server: e.Server, Service: e.Service, Domain: e.Domain}}
		prefix = func(int) string { return "entries." }
	}
	if len(e.Browse) > maxBrowses {
		return fmt.Errorf("entries.browse: %d services are more than %d", len(e.Browse), maxBrowses)
	}
	for i := range e.Browse {
		b := &e.Browse[i]
		setDefault(&b.Updates, "auto")
		if err := b.validate(prefix(i)); err != nil {
			return err
		}
		if b.Site != "" && !slices.Contains(o.Module.Zones, b.Site) {
			return fmt.Errorf("%ssite: %q is not among module.zones", prefix(i), b.Site)
		}
		for k, other := range e.Browse[:i] {
			if other.Key() == b.Key() {
				return fmt.Errorf("%sdomain: the same service and domain as entries.browse[%d]", prefix(i), k)
			}
		}
	}
	return nil
}

func (b *Browse) validate(prefix string) error {
	if err := validateLoopback(prefix+"server", b.Server); err != nil {
		return err
	}
	if b.Service == "" {
		return fmt.Errorf("%sservice: missing, such as \"_engine._tcp\"", prefix)
	}
	if labels := strings.Split(b.Service, "."); len(labels) != 2 || !strings.HasPrefix(b.Service, "_") || labels[1] != "_tcp" && labels[1] != "_udp" {
		return fmt.Errorf("%sservice: %q is not of the form \"_engine._tcp\"", prefix, b.Service)
	}
	if b.Domain == "" {
		return fmt.Errorf("%sdomain: missing", prefix)
	}
	if strings.ContainsRune(b.Subtype, '.') {
		return fmt.Errorf("%ssubtype: %q is no single label, such as \"_large\"", prefix, b.Subtype)
	}
	if !slices.Contains(updateMethods, b.Updates) {
		return fmt.Errorf("%snews: %q is none of %s", prefix, b.Updates, strings.Join(updateMethods, ", "))
	}
	if b.PushAddress != "" {
		if err := validateLoopback(prefix+"push", b.PushAddress); err != nil {
			return err
		}
	}
	if b.Updates == "push" && b.PushAddress == "" && b.PushRootFile == "" {
		return fmt.Errorf("%spush_root: missing; push needs a root certificate, or an address in push for push in the clear", prefix)
	}
	if (b.Updates == "poll" || b.Updates == "mdns") && (b.PushAddress != "" || b.PushRootFile != "") {
		return fmt.Errorf("%spush: given though news is %q", prefix, b.Updates)
	}
	if b.PushServerName != "" && b.PushRootFile == "" {
		return fmt.Errorf("%spush_name: given without push_root", prefix)
	}
	return nil
}

// RootCertificates reads a browse's root certificates; nil where there are none.
func (o *OperatorFile) RootCertificates(base string, i int) (*x509.CertPool, error) {
	b := o.Endpoints.Browse[i]
	if b.PushRootFile == "" {
		return nil, nil
	}
	raw, err := os.ReadFile(o.ResolvePath(base, b.PushRootFile))
	if err != nil {
		return nil, fmt.Errorf("entries.browse[%d].push_root: %w", i, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(raw) {
		return nil, fmt.Errorf("entries.browse[%d].push_root: %s holds no certificate in PEM form", i, b.PushRootFile)
	}
	return roots, nil
}

// Nodes is how the nodes of an installation find each other and are counted.
type Nodes struct {
	Server      string   `toml:"server"` // "" is off
	Service     string   `toml:"service"`
	Domain      string   `toml:"domain"`
	Publish     bool     `toml:"publish"` // by DNS UPDATE; else somebody else publishes the nodes
	Lease       Duration `toml:"lease"`
	ShrinkDelay Duration `toml:"hold"` // for which a smaller number must last
}

func (p *Nodes) setDefaults() {
	setDefault(&p.Service, "_standpoint._tcp")
	setDefault(&p.Lease, Duration(30*time.Second))
	setDefault(&p.ShrinkDelay, Duration(10*time.Second))
}

func (o *OperatorFile) validateNodes() error {
	p := &o.Nodes
	if p.Server == "" {
		if p.Publish {
			return fmt.Errorf("nodes.server: missing")
		}
		return nil
	}
	b := Browse{Server: p.Server, Service: p.Service, Domain: p.Domain, Updates: "poll"}
	if err := b.validate("nodes."); err != nil {
		return err
	}
	if p.Lease < Duration(2*time.Second) || p.Lease > Duration(time.Hour) {
		return fmt.Errorf("nodes.lease: %v is not from 2s to 1h", time.Duration(p.Lease))
	}
	if p.ShrinkDelay < 0 {
		return fmt.Errorf("nodes.hold: %v is negative", time.Duration(p.ShrinkDelay))
	}
	return nil
}

func (o *OperatorFile) validateMetrics() error {
	if o.Metrics.Listen == "" {
		return nil
	}
	return validateLoopback("metrics.listen", o.Metrics.Listen)
}
