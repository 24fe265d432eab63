package entries

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/miekg/dns"
	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/dnssd"
	"standpoint/internal/node"
)

const (
	queryTime   = 2 * time.Second // for one answer, all tries together
	firstTry    = 150 * time.Millisecond
	packetMost  = 1232 // bytes of an answer by UDP (EDNS(0))
	instancesAt = 8    // instances looked up at once
	instanceMax = 4096 // of one service
)

// Browser is the actor of service entries that are published as DNS-SD records (RFC 6763): a PTR record
// for each instance of the service, and the instance's SRV and TXT records. TXT keys are those of the
// platform's list: site, class, block, health, share, born_ms; and mode, stream or batch; all others are labels.
//
// It asks every Poll whether anything has changed, by the zone's serial where the server tells one, else by the list
// of instances; only what may have changed is looked up again, and everything each Refresh. A look-up that fails
// changes nothing that is known, and a bad record costs its own instance alone.
type Browser struct {
	Server, Service, Domain string
	Site                    string // of instances that do not tell theirs; "" for the first
	Suffix                  string // behind the instances' names, to tell several services' apart
	Poll, Refresh           time.Duration
	Guard                   dnssd.Guard
	Names                   Names
	News                    func(node.List)
	Log                     *zap.Logger

	// The actor's alone.
	told    []node.ServiceEntry          // what the core was last told, by name
	entries map[string]node.ServiceEntry // by full instance name; those that could be read
	faults  map[string]string            // why the others could not
	listed  int                          // instances of the list that is held
	serial  *uint32
	looked  time.Time // when everything was last looked up
	failing bool
	changed map[string]time.Time // of an instance's entry, or of what is wrong with it
	origins atomic.Pointer[[]Origin]
}

// Origin says where a service entry comes from, or why an instance is none.
type Origin struct {
	Name     string    `json:"name"`
	Instance string    `json:"instance,omitempty"` // its full name; "" for one that the operator's file lists
	Server   string    `json:"server,omitempty"`
	Address  string    `json:"address,omitempty"`
	State    string    `json:"state,omitempty"`
	Started  time.Time `json:"started,omitzero"`
	Changed  time.Time `json:"changed,omitzero"` // when this was last found different
	Looked   time.Time `json:"looked,omitzero"`  // when the server last answered
	Fault    string    `json:"fault,omitempty"`  // why it is left out
}

// Describe says where an entry comes from, as far as the entry itself tells.
func Describe(e node.ServiceEntry) Origin {
	o := Origin{Name: e.Name, Address: e.Address, State: [...]string{"ready", "draining", "gone"}[e.State]}
	if e.ReadyAt > 0 {
		o.Started = time.Unix(0, e.ReadyAt)
	}
	return o
}

// Origins are all instances as last found, those that are left out too. It may be called from anywhere.
func (b *Browser) Origins() []Origin {
	if all := b.origins.Load(); all != nil {
		return *all
	}
	return nil
}

// note keeps the origins of what was found.
func (b *Browser) note(now time.Time, entries map[string]node.ServiceEntry, faults map[string]string) {
	changed := map[string]time.Time{}
	at := func(instance string, same bool) time.Time {
		if was, ok := b.changed[instance]; ok && same {
			changed[instance] = was
		} else {
			changed[instance] = now
		}
		return changed[instance]
	}
	all := make([]Origin, 0, len(entries)+len(faults))
	for instance, e := range entries {
		o := Describe(e)
		o.Changed = at(instance, reflect.DeepEqual(e, b.entries[instance]))
		o.Instance, o.Server, o.Looked = instance, b.Server, now
		all = append(all, o)
	}
	for instance, fault := range faults {
		o := Origin{Name: instance, Instance: instance, Server: b.Server, Looked: now, Fault: fault}
		if label, _, err := dnssd.SplitInstance(instance); err == nil {
			o.Name = label + b.Suffix
		}
		o.Changed = at(instance, b.faults[instance] == fault)
		all = append(all, o)
	}
	slices.SortFunc(all, func(x, y Origin) int { return strings.Compare(x.Name, y.Name) })
	b.changed = changed
	b.origins.Store(&all)
}

// Watch does nothing: the records are looked up all the time.
func (b *Browser) Watch() {}

// Run looks the records up until ctx ends.
func (b *Browser) Run(ctx context.Context) {
	for first := true; ctx.Err() == nil; {
		changed, err := b.look(ctx, time.Now())
		switch {
		case err != nil && ctx.Err() == nil:
			if !b.failing {
				b.Log.Warn("look-up of service entries failed; the last list holds", zap.Error(err))
			}
			b.failing = true
		case err == nil:
			b.failing = false
			if changed || first {
				first = false
				b.News(node.List{Kind: standpoint.ListFull, Entries: slices.Clone(b.told)})
			}
		}
		// With jitter, so that nodes do not ask together.
		timer := time.NewTimer(b.Poll/2 + rand.N(b.Poll/2+1))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// look brings the list up to date and tells whether it has changed.
func (b *Browser) look(ctx context.Context, now time.Time) (bool, error) {
	due := now.Sub(b.looked) >= b.Refresh
	serial := b.zone(ctx)
	if !due && serial != nil && b.serial != nil && *serial == *b.serial {
		return false, nil
	}
	service := dns.Fqdn(b.Service + "." + b.Domain)
	answers, err := b.query(ctx, service, dns.TypePTR)
	var none *noName
	if err != nil && !errors.As(err, &none) {
		return false, err
	}
	still, instances := 0, []string{}
	for _, r := range answers {
		p, ok := r.(*dns.PTR)
		if !ok || !strings.EqualFold(r.Header().Name, service) || !strings.HasSuffix(strings.ToLower(p.Ptr), "."+strings.ToLower(service)) {
			continue
		}
		if len(instances) == instanceMax {
			b.Log.Warn("more instances than are taken", zap.Int("most", instanceMax))
			break
		}
		instances = append(instances, p.Ptr)
		_, was := b.entries[p.Ptr]
		_, bad := b.faults[p.Ptr]
		if was || bad {
			still++
		}
	}
	newer := serial != nil && b.serial != nil && dnssd.Newer(*serial, *b.serial)
	if b.Guard.Judge(b.listed, still, newer, now.UnixNano()) == dnssd.Wait {
		return false, nil
	}
	// Without a serial an instance's own records may have changed unseen; they are looked up each Refresh.
	again := due || newer || serial != nil && b.serial == nil
	entries, faults := map[string]node.ServiceEntry{}, map[string]string{}
	type found struct {
		name  string
		entry node.ServiceEntry
		err   error
	}
	results := make(chan found, len(instances))
	slots := make(chan struct{}, instancesAt)
	for _, name := range instances {
		if e, known := b.entries[name]; known && !again {
			results <- found{name, e, nil}
			continue
		}
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			e, err := b.resolve(ctx, name)
			results <- found{name, e, err}
		}()
	}
	whole := true
	for range instances {
		r := <-results
		var gone *noAnswer
		switch {
		case r.err == nil:
			entries[r.name] = r.entry
		case errors.As(r.err, &gone): // not told now: what was known holds
			whole = false
			if e, known := b.entries[r.name]; known {
				entries[r.name] = e
				continue
			}
			fallthrough
		default:
			faults[r.name] = r.err.Error()
			if b.faults[r.name] != faults[r.name] {
				b.Log.Warn("a service entry is left out", zap.String("instance", r.name), zap.Error(r.err))
			}
		}
	}
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	b.note(now, entries, faults)
	b.entries, b.faults, b.listed = entries, faults, len(instances)
	if whole {
		b.serial = serial
		if again {
			b.looked = now
		}
	}
	list := make([]node.ServiceEntry, 0, len(entries))
	for _, e := range entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(x, y node.ServiceEntry) int { return strings.Compare(x.Name, y.Name) })
	changed := !reflect.DeepEqual(list, b.told)
	b.told = list
	return changed, nil
}

// zone is the serial of the zone, nil where the server tells none.
func (b *Browser) zone(ctx context.Context) *uint32 {
	answers, err := b.query(ctx, dns.Fqdn(b.Domain), dns.TypeSOA)
	if err != nil {
		return nil
	}
	for _, r := range answers {
		if s, ok := r.(*dns.SOA); ok && strings.EqualFold(s.Hdr.Name, dns.Fqdn(b.Domain)) {
			return &s.Serial
		}
	}
	return nil
}

func (b *Browser) resolve(ctx context.Context, instance string) (node.ServiceEntry, error) {
	e := node.ServiceEntry{Engine: standpoint.Engine{Size: 1}}
	if b.Site != "" {
		e.Zone = index(b.Names.Zones, b.Site)
	}
	var err error
	if e.Name, _, err = dnssd.SplitInstance(instance); err != nil {
		return e, err
	}
	e.Name += b.Suffix
	records, err := b.query(ctx, instance, dns.TypeSRV)
	if err != nil {
		return e, err
	}
	var targets []dnssd.Target
	for _, r := range records {
		if s, ok := r.(*dns.SRV); ok {
			targets = append(targets, dnssd.Target{Priority: s.Priority, Weight: s.Weight, Port: s.Port, Host: s.Target})
		}
	}
	target, err := dnssd.Choose(targets, float64(xxhash.Sum64String(instance)>>11)/(1<<53))
	if err != nil {
		return e, err
	}
	host, err := b.address(ctx, target.Host)
	if err != nil {
		return e, err
	}
	e.Address = net.JoinHostPort(host, strconv.Itoa(int(target.Port)))
	if records, err = b.query(ctx, instance, dns.TypeTXT); err != nil {
		return e, err
	}
	var texts []string
	for _, r := range records {
		if t, ok := r.(*dns.TXT); ok {
			texts = append(texts, t.Txt...)
		}
	}
	for key, a := range dnssd.ParseTXT(texts) {
		if err := b.attribute(&e, key, a.Value); err != nil {
			return e, fmt.Errorf("TXT %s: %w", key, err)
		}
	}
	return e, nil
}

// address is the first address of a host, of IPv4 if it has one.
func (b *Browser) address(ctx context.Context, host string) (string, error) {
	for _, kind := range []uint16{dns.TypeA, dns.TypeAAAA} {
		records, err := b.query(ctx, host, kind)
		var none *noName
		if err != nil && !errors.As(err, &none) {
			return "", err
		}
		for _, r := range records {
			switch r := r.(type) {
			case *dns.A:
				return r.A.String(), nil
			case *dns.AAAA:
				return r.AAAA.String(), nil
			}
		}
	}
	return "", fmt.Errorf("no address of %s", host)
}

// attribute takes in one key of a TXT record. Those that mean nothing here become labels.
func (b *Browser) attribute(e *node.ServiceEntry, key, value string) (err error) {
	switch key {
	case "site":
		e.Zone = index(b.Names.Zones, value)
	case "class":
		e.Kind = index(b.Names.Kinds, value)
	case "block":
		e.Cell, err = strconv.Atoi(value)
	case "share":
		e.Size, err = strconv.ParseFloat(value, 64)
		if err == nil && !(e.Size > 0 && e.Size <= 1e6) {
			err = fmt.Errorf("%q is no size", value)
		}
	case "born_ms":
		var born int64
		born, err = strconv.ParseInt(value, 10, 64)
		e.ReadyAt = born * int64(time.Millisecond)
	case "mode":
		e.Batch = value == "batch"
	case "health":
		e.State, err = state(value)
	default:
		if e.Labels == nil {
			e.Labels = map[string]string{}
		}
		e.Labels[key] = value
	}
	return err
}

// noName is a server's word that a name, or its records of that kind, do not exist. noAnswer is the lack of one.
type (
	noName   struct{ text string }
	noAnswer struct{ err error }
)

func (e *noName) Error() string   { return e.text }
func (e *noAnswer) Error() string { return e.err.Error() }
func (e *noAnswer) Unwrap() error { return e.err }

// query asks over UDP, again after a while where no answer comes, and over TCP where the answer does not fit. The case
// of the name's letters is drawn anew each time and must come back, as the id must: a guess at both is no answer.
func (b *Browser) query(ctx context.Context, name string, kind uint16) ([]dns.RR, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTime)
	defer cancel()
	var last error
	for wait := firstTry; ctx.Err() == nil; wait *= 2 {
		asked := mixCase(name)
		q := new(dns.Msg).SetQuestion(asked, kind)
		q.SetEdns0(packetMost, false)
		client := &dns.Client{Timeout: wait, UDPSize: packetMost}
		answer, _, err := client.ExchangeContext(ctx, q, b.Server)
		if err == nil && answer.Truncated {
			client = &dns.Client{Net: "tcp", Timeout: queryTime}
			answer, _, err = client.ExchangeContext(ctx, q, b.Server)
		}
		switch {
		case err != nil:
			last = err
		case len(answer.Question) != 1 || !sameName(answer.Question[0].Name, asked) || answer.Question[0].Qtype != kind:
			last = errors.New("an answer to another question")
		case answer.Rcode == dns.RcodeNameError:
			return nil, &noName{fmt.Sprintf("%s %s: NXDOMAIN", dns.TypeToString[kind], name)}
		case answer.Rcode != dns.RcodeSuccess:
			return nil, &noAnswer{fmt.Errorf("%s %s: %s", dns.TypeToString[kind], name, dns.RcodeToString[answer.Rcode])}
		default:
			return answer.Answer, nil
		}
		var timeout net.Error
		if errors.As(last, &timeout) && timeout.Timeout() {
			continue
		}
		// Refused at once: no sense in asking at full speed.
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil, &noAnswer{fmt.Errorf("%s %s: %w", dns.TypeToString[kind], name, errors.Join(last, ctx.Err()))}
}

// mixCase draws the case of the letters (0x20 encoding). Escapes have none.
func mixCase(name string) string {
	b := []byte(name)
	for i, c := range b {
		if ('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z') && rand.IntN(2) == 0 {
			b[i] ^= 0x20
		}
	}
	return string(b)
}

// sameName compares two names to the letter, whatever way their escapes are written.
func sameName(a, b string) bool {
	var wire [2][256]byte
	n, errA := dns.PackDomainName(a, wire[0][:], 0, nil, false)
	m, errB := dns.PackDomainName(b, wire[1][:], 0, nil, false)
	return errA == nil && errB == nil && bytes.Equal(wire[0][:n], wire[1][:m])
}
