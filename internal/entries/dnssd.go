package entries

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/miekg/dns"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/node"
)

const queryTime = 2 * time.Second

// Browser is the actor of service entries that are published as DNS-SD records (RFC 6763): a PTR record
// for each instance of the service, and the instance's SRV and TXT records. TXT keys are those of the
// platform's list: site, class, block, health, share, born_ms; and mode, stream or batch.
type Browser struct {
	Server, Service, Domain string
	Refresh                 time.Duration
	Names                   Names
	News                    func(node.List)
	Log                     *zap.Logger
}

// Watch does nothing: the records are looked up all the time.
func (b *Browser) Watch() {}

// Run looks the records up until ctx ends. A failed look-up changes nothing that is known.
func (b *Browser) Run(ctx context.Context) {
	for ctx.Err() == nil {
		l, err := b.browse(ctx)
		if err == nil {
			b.News(l)
		} else if ctx.Err() == nil {
			b.Log.Warn("look-up of service entries failed", zap.Error(err))
		}
		timer := time.NewTimer(b.Refresh)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (b *Browser) browse(ctx context.Context) (node.List, error) {
	l := node.List{Kind: standpoint.ListFull}
	service := dns.Fqdn(b.Service + "." + b.Domain)
	pointers, err := b.query(ctx, service, dns.TypePTR)
	if err != nil {
		return l, err
	}
	for _, r := range pointers {
		pointer, ok := r.(*dns.PTR)
		if !ok || !strings.HasSuffix(pointer.Ptr, "."+service) {
			continue
		}
		e, err := b.resolve(ctx, pointer.Ptr)
		if err != nil {
			return l, fmt.Errorf("instance %s: %w", pointer.Ptr, err)
		}
		e.Name = strings.TrimSuffix(pointer.Ptr, "."+service)
		l.Entries = append(l.Entries, e)
	}
	return l, nil
}

func (b *Browser) resolve(ctx context.Context, instance string) (node.ServiceEntry, error) {
	e := node.ServiceEntry{Engine: standpoint.Engine{Size: 1}}
	records, err := b.query(ctx, instance, dns.TypeSRV)
	if err != nil {
		return e, err
	}
	var srv *dns.SRV
	for _, r := range records {
		if s, ok := r.(*dns.SRV); ok && (srv == nil || s.Priority < srv.Priority) {
			srv = s
		}
	}
	if srv == nil {
		return e, errors.New("no SRV record")
	}
	addresses, err := b.query(ctx, srv.Target, dns.TypeA)
	if err != nil {
		return e, err
	}
	for _, r := range addresses {
		if a, ok := r.(*dns.A); ok {
			e.Address = net.JoinHostPort(a.A.String(), strconv.Itoa(int(srv.Port)))
			break
		}
	}
	if e.Address == "" {
		return e, fmt.Errorf("no address of %s", srv.Target)
	}
	texts, err := b.query(ctx, instance, dns.TypeTXT)
	if err != nil {
		return e, err
	}
	for _, r := range texts {
		t, ok := r.(*dns.TXT)
		if !ok {
			continue
		}
		for _, text := range t.Txt {
			if err := b.attribute(&e, text); err != nil {
				return e, err
			}
		}
	}
	return e, nil
}

// attribute takes in one key=value of a TXT record. Keys are not case-sensitive; unknown ones become
// labels.
func (b *Browser) attribute(e *node.ServiceEntry, text string) error {
	name, value, _ := strings.Cut(text, "=")
	name = strings.ToLower(name)
	var err error
	switch name {
	case "site":
		e.Zone = index(b.Names.Zones, value)
	case "class":
		e.Kind = index(b.Names.Kinds, value)
	case "block":
		e.Cell, err = strconv.Atoi(value)
	case "share":
		e.Size, err = strconv.ParseFloat(value, 64)
	case "born_ms":
		var born int64
		born, err = strconv.ParseInt(value, 10, 64)
		e.ReadyAt = born * int64(time.Millisecond)
	case "mode":
		e.Batch = value == "batch"
	case "health":
		e.State, err = state(value)
	case "":
	default: // for pools to select by
		if e.Labels == nil {
			e.Labels = map[string]string{}
		}
		if _, told := e.Labels[name]; !told { // the first wins (RFC 6763, 6.4)
			e.Labels[name] = value
		}
	}
	if err != nil {
		return fmt.Errorf("TXT %s: %w", name, err)
	}
	return nil
}

// query asks over UDP, and over TCP where the answer does not fit.
func (b *Browser) query(ctx context.Context, name string, kind uint16) ([]dns.RR, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTime)
	defer cancel()
	q := new(dns.Msg).SetQuestion(name, kind)
	client := &dns.Client{Timeout: queryTime}
	answer, _, err := client.ExchangeContext(ctx, q, b.Server)
	if err == nil && answer.Truncated {
		client.Net = "tcp"
		answer, _, err = client.ExchangeContext(ctx, q, b.Server)
	}
	if err != nil {
		return nil, err
	}
	if answer.Rcode != dns.RcodeSuccess {
		return nil, fmt.Errorf("%s %s: %s", dns.TypeToString[kind], name, dns.RcodeToString[answer.Rcode])
	}
	return answer.Answer, nil
}
