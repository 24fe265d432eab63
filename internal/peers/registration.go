package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/miekg/dns"
	"go.uber.org/zap"

	"standpoint/internal/dnssd/record"
	"standpoint/internal/transient"
)

const (
	updateTimeout  = 2 * time.Second
	minUpdateRetry = 200 * time.Millisecond
	maxUpdateRetry = 30 * time.Second
	// maxUDPPayload is the maximum UDP payload size, in bytes, that the EDNS(0) record advertises. The record is needed
	// for the lease option.
	maxUDPPayload = 1232
)

// register registers this node's records at the server by DNS UPDATE (RFC 2136), renews their lease shortly before half
// of its duration, and removes them when ctx ends. A server without support for leases keeps the records until they are
// removed.
func (m *Membership) register(ctx context.Context) {
	if !m.Publish {
		return
	}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minUpdateRetry
	retry.MaxInterval = min(maxUpdateRetry, m.Lease/3)
	failing := false
	for ctx.Err() == nil {
		err := m.sendUpdate(ctx, false)
		wait := m.Lease/2 - rand.N(m.Lease/10+1)
		if err != nil && ctx.Err() == nil {
			if !failing {
				m.Log.Warn("node registration failed", zap.Error(err))
			}
			wait = retry.NextBackOff()
		} else {
			retry.Reset()
		}
		failing = err != nil
		transient.Sleep(ctx, wait)
	}
	removing, cancel := context.WithTimeout(context.WithoutCancel(ctx), updateTimeout)
	defer cancel()
	if err := m.sendUpdate(removing, true); err != nil {
		m.Log.Warn("node deregistration failed, registration ends with its lease", zap.Error(err))
	}
}

// sendUpdate sends an update that adds this node's records at the server, or removes them.
func (m *Membership) sendUpdate(ctx context.Context, remove bool) error {
	update, err := m.newUpdate(remove)
	if err != nil {
		return err
	}
	client := &dns.Client{Net: "tcp", Timeout: updateTimeout}
	response, _, err := client.ExchangeContext(ctx, update, m.BrowserOptions.Server)
	if err != nil {
		return err
	}
	if response.Rcode != dns.RcodeSuccess {
		return updateError(response.Rcode)
	}
	return nil
}

// updateError is the response code of a rejected update.
type updateError int

// Error implements error.
func (e updateError) Error() string { return "DNS UPDATE rejected: " + dns.RcodeToString[int(e)] }

// newUpdate returns the message that adds this node's records, or removes them.
func (m *Membership) newUpdate(remove bool) (*dns.Msg, error) {
	list, own, err := m.records()
	if err != nil {
		return nil, err
	}
	update := new(dns.Msg).SetUpdate(dns.Fqdn(m.BrowserOptions.Service.Domain))
	// All records of the instance are replaced, since those of an earlier process may differ.
	update.RemoveRRset(own)
	if remove {
		update.Remove([]dns.RR{list})
		return update, nil
	}
	update.Insert(append(own, list))
	update.SetEdns0(maxUDPPayload, false)
	options := update.IsEdns0()
	lease := &dns.EDNS0_UL{Code: dns.EDNS0UL, Lease: uint32(m.Lease / time.Second)}
	options.Option = append(options.Option, lease)
	return update, nil
}

// records returns this node's records: list is its PTR record in the record set of the service, which also has the PTR
// records of the other nodes; own are its SRV, TXT and address records.
func (m *Membership) records() (list dns.RR, own []dns.RR, err error) {
	ip, port, err := m.hostPort()
	if err != nil {
		return nil, nil, err
	}
	base := dns.Fqdn(m.BrowserOptions.Service.Type + "." + m.BrowserOptions.Service.Domain)
	instance, err := record.JoinInstance(m.Name, base)
	if err != nil {
		return nil, nil, fmt.Errorf("node name: %w", err)
	}
	target, err := record.JoinInstance(m.Name, "_nodes."+dns.Fqdn(m.BrowserOptions.Service.Domain))
	if err != nil {
		return nil, nil, err
	}
	ttl := uint32(max(1, m.Lease/time.Second/2))
	header := func(name string, kind uint16) dns.RR_Header {
		return dns.RR_Header{Name: name, Rrtype: kind, Class: dns.ClassINET, Ttl: ttl}
	}
	var address dns.RR = &dns.A{Hdr: header(target, dns.TypeA), A: ip}
	if ip.To4() == nil {
		address = &dns.AAAA{Hdr: header(target, dns.TypeAAAA), AAAA: ip}
	}
	list = &dns.PTR{Hdr: header(base, dns.TypePTR), Ptr: instance}
	own = []dns.RR{
		&dns.SRV{Hdr: header(instance, dns.TypeSRV), Port: port, Target: target},
		&dns.TXT{Hdr: header(instance, dns.TypeTXT), Txt: []string{"txtvers=1"}},
		address,
	}
	return list, own, nil
}

// hostPort splits the node's address. A host that is not an IP address stands for the loopback address.
func (m *Membership) hostPort() (ip net.IP, port uint16, err error) {
	host, text, err := net.SplitHostPort(m.Address)
	if err != nil {
		return nil, 0, err
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		return nil, 0, err
	}
	ip = net.ParseIP(host)
	if ip == nil {
		ip = net.IPv4(127, 0, 0, 1)
	}
	return ip, uint16(number), nil
}
