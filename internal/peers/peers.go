package peers

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/miekg/dns"
	"go.uber.org/zap"

	"standpoint/internal/clock"
	"standpoint/internal/dnssd/browser"
	"standpoint/internal/dnssd/record"
)

// Options of the actor.
type Options struct {
	Name    string // of this node, its instance's label
	Address string // of its front, host:port
	Find    browser.Options
	Publish bool
	Lease   time.Duration // after which the server may forget a node that does not renew (RFC 9664)
	Hold    time.Duration
	Least   int
	Changed func(n int) // the number of nodes is another
	Log     *zap.Logger
}

// Node is one that was found.
type Node struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Actor finds the nodes, and publishes its own.
type Actor struct {
	Options
	nodes  atomic.Pointer[[]Node]
	number atomic.Int64
}

// New makes the actor; Run starts it.
func New(o Options) *Actor {
	a := &Actor{Options: o}
	a.number.Store(int64(max(1, o.Least)))
	return a
}

// Nodes are those that were last found, and by how many the node reckons.
func (a *Actor) Nodes() (list []Node, reckoned int) {
	if all := a.nodes.Load(); all != nil {
		list = *all
	}
	return list, int(a.number.Load())
}

// Run finds until ctx ends; then the node's own record is taken back.
func (a *Actor) Run(ctx context.Context) {
	count := Count{Hold: int64(a.Hold), Least: a.Least}
	sights := make(chan browser.Snapshot, 1)
	a.Find.Publish = func(s browser.Snapshot) {
		select {
		case <-sights:
		default:
		}
		sights <- s
	}
	done, published := make(chan struct{}), make(chan struct{})
	go func() { defer close(done); browser.New(a.Find).Run(ctx) }()
	go func() { defer close(published); a.publish(ctx) }()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	last := 0
	for {
		select {
		case <-ctx.Done():
			<-done
			<-published
			return
		case s := <-sights:
			nodes := []Node{}
			for _, in := range s.Instances {
				if in.Fault == nil {
					nodes = append(nodes, Node{in.Label, in.Address.String()})
				}
			}
			last = len(s.Instances) // one whose records are being looked up is there
			a.nodes.Store(&nodes)
		case <-timer.C:
		}
		if count.Heard(last, clock.Now()) {
			a.number.Store(int64(count.Now()))
			a.Log.Info("the number of nodes is another", zap.Int("nodes", count.Now()))
			a.Changed(count.Now())
		}
		wait := time.Hour
		if due := count.Due(); due != 0 {
			wait = max(time.Millisecond, time.Duration(due-clock.Now()))
		}
		timer.Reset(wait)
	}
}

const (
	updateTime = 2 * time.Second
	updateMost = 30 * time.Second
)

// publish keeps the node's record at the server: a PTR, SRV and TXT, by DNS UPDATE (RFC 2136) with a lease that is
// renewed at half its time. A server that knows no leases keeps the record until it is taken back.
func (a *Actor) publish(ctx context.Context) {
	if !a.Publish {
		return
	}
	again := backoff.NewExponentialBackOff()
	again.InitialInterval, again.MaxInterval = 200*time.Millisecond, min(updateMost, a.Lease/3)
	failing := false
	for ctx.Err() == nil {
		err := a.update(ctx, false)
		wait := a.Lease/2 - rand.N(a.Lease/10+1)
		if err != nil && ctx.Err() == nil {
			if !failing {
				a.Log.Warn("this node could not be published", zap.Error(err))
			}
			wait = again.NextBackOff()
		} else {
			again.Reset()
		}
		failing = err != nil
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), updateTime)
	defer cancel()
	if err := a.update(last, true); err != nil {
		a.Log.Warn("this node's record could not be taken back; it ends with its lease", zap.Error(err))
	}
}

// update adds the node's records, or removes them.
func (a *Actor) update(ctx context.Context, remove bool) error {
	host, port, err := net.SplitHostPort(a.Address)
	if err != nil {
		return err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	ip := net.ParseIP(host)
	if ip == nil {
		ip = net.IPv4(127, 0, 0, 1)
	}
	zone := dns.Fqdn(a.Find.Service.Domain)
	base := dns.Fqdn(a.Find.Service.Type + "." + a.Find.Service.Domain)
	instance, err := record.JoinInstance(a.Name, base)
	if err != nil {
		return fmt.Errorf("name: %w", err)
	}
	ttl := uint32(max(1, a.Lease/time.Second/2))
	head := func(name string, kind uint16) dns.RR_Header {
		return dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET, Ttl: ttl}
	}
	target, err := record.JoinInstance(a.Name, "_nodes."+zone)
	if err != nil {
		return err
	}
	var address dns.RR = &dns.A{Hdr: head(target, dns.TypeA), A: ip}
	if ip.To4() == nil {
		address = &dns.AAAA{Hdr: head(target, dns.TypeAAAA), AAAA: ip}
	}
	list := &dns.PTR{Hdr: head(base, dns.TypePTR), Ptr: instance}
	own := []dns.RR{&dns.SRV{Hdr: head(instance, dns.TypeSRV), Port: uint16(number), Target: target},
		&dns.TXT{Hdr: head(instance, dns.TypeTXT), Txt: []string{"txtvers=1"}}, address}
	m := new(dns.Msg).SetUpdate(zone)
	// The instance's own records are replaced whole: those of an earlier life may differ.
	m.RemoveRRset(own)
	if remove {
		m.Remove([]dns.RR{list})
	} else {
		m.Insert(append(own, list))
		m.SetEdns0(1232, false)
		m.IsEdns0().Option = append(m.IsEdns0().Option, &dns.EDNS0_UL{Code: dns.EDNS0UL, Lease: uint32(a.Lease / time.Second)})
	}
	answer, _, err := (&dns.Client{Net: "tcp", Timeout: updateTime}).ExchangeContext(ctx, m, a.Find.Server)
	switch {
	case err != nil:
		return err
	case answer.Rcode != dns.RcodeSuccess:
		return errors.New("UPDATE: " + dns.RcodeToString[answer.Rcode])
	}
	return nil
}
