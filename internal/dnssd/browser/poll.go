package browser

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"standpoint/internal/clock"
	"standpoint/internal/dnssd/record"
	"standpoint/internal/dnssd/resolver"
)

const (
	askedAtOnce = 32
	// tellEvery is how often an unchanged sight is told again, for the ages of its entries.
	tellEvery = 5 * time.Second
	waveTime  = 200 * time.Millisecond
	// againAfter is when a question is asked again that was not answered.
	againAfter = time.Second
	// behindTime is how long an older serial must be told before it is believed, and listTries how often a list is
	// asked for that comes from a server behind.
	behindTime = 10 * time.Second
	listTries  = 6
	// oftenest bounds how often a record is asked for whose TTL is 0 or nearly.
	oftenest = time.Second
)

// poller asks. It belongs to one goroutine at a time.
type poller struct {
	*Browser
	view   *record.Cache
	serial *uint32
	asked  bool      // the list was had once
	behind time.Time // since when only an older serial has been told
	due    int64     // when the next set is to be asked for; 0: not known
	told   time.Time
	labels map[string]string
}

func newPoller(f *Browser) *poller {
	return &poller{Browser: f, view: record.NewCache(), labels: map[string]string{}}
}

// stale has everything asked for again at the next look.
func (p *poller) stale() {
	p.view.Stale(0)
	p.told = time.Time{}
}

func (p *poller) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := p.look(ctx)
		if ctx.Err() != nil {
			return
		}
		p.note(Poll, err)
		// With jitter, so that nodes do not ask together.
		timer := time.NewTimer(p.Every/2 + rand.N(p.Every/2+1))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// zone asks for the zone's serial; nil where the server tells none that counts.
func (p *poller) zone(ctx context.Context) (*uint32, error) {
	a, err := p.client.Ask(ctx, p.domain, record.SOA)
	if err != nil {
		return nil, err
	}
	for _, r := range a.Records {
		if a.Authoritative { // a cache's may be old
			return &r.Serial, nil
		}
	}
	return nil, nil
}

// look brings the view up to date, and tells it if it has changed.
func (p *poller) look(ctx context.Context) error {
	serial, err := p.zone(ctx)
	if err != nil && p.serial != nil {
		return err // it told one before: now it does not answer
	}
	now := time.Now()
	if p.lags(serial, now) {
		return nil
	}
	list := record.Key{Name: p.Service.List(), Kind: record.PTR}
	moved := serial == nil || p.serial == nil || *serial != *p.serial
	if serial != nil && moved {
		p.view.Stale(clock.Of(now))
	}
	if !moved && p.due > clock.Of(now) && now.Sub(p.told) < tellEvery {
		return nil // nothing has changed, and nothing is due
	}
	changed := false
	if s := p.view.Get(list.Name, list.Kind); moved || s == nil || s.Due <= clock.Of(now) {
		a, err := p.list(ctx, list, serial, now)
		if err != nil {
			return err
		}
		changed = p.put(list, a.Records, a.Least, serial != nil)
		p.extra(a.Extra, serial != nil)
		for _, r := range a.Records {
			if label, _, err := record.SplitInstance(r.Target); err == nil {
				p.labels[record.CanonicalName(r.Target)] = label
			}
		}
		if changed && p.asked { // withdrawals do not wait for the look-ups of what is new
			p.tell(now, serial)
		}
	}
	names, over := p.view.Instances(p.Service)
	if over > 0 {
		p.Log.Warn("more instances than are taken", zap.Int("over", over), zap.Int("most", record.InstancesMost))
	}
	wanted := map[record.Key]bool{list: true}
	p.serial = serial
	for wave := 0; wave < 3; wave++ { // SRV and TXT, then A, then AAAA
		var due []record.Key
		for _, name := range names {
			for _, k := range p.view.Wants(name) {
				if s := p.view.Get(k.Name, k.Kind); !wanted[k] && (s == nil || s.Due <= clock.Of(now)) {
					due = append(due, k)
				}
				wanted[k] = true
			}
		}
		if len(due) == 0 {
			continue
		}
		// The list must not wait for records of single boxes that are lost on the way: what is not answered soon stays
		// due, and is asked for at the next look. The first list is told whole.
		asking, enough := ctx, func() {}
		if p.asked {
			asking, enough = context.WithTimeout(ctx, waveTime)
		}
		changed = p.ask(asking, due, serial != nil) || changed
		enough()
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	p.view.Keep(wanted)
	p.due = p.view.NextDue()
	if changed || !p.asked || now.Sub(p.told) >= tellEvery {
		p.asked = true
		p.tell(now, serial)
	}
	return nil
}

// list asks for the list. Where the zone has a serial it is asked for again from the same socket: the list must be that
// of a server which is no older than what told of the change.
func (p *poller) list(ctx context.Context, k record.Key, serial *uint32, _ time.Time) (resolver.Answer, error) {
	if serial == nil {
		return p.client.Ask(ctx, k.Name, k.Kind)
	}
	for range listTries {
		its, a, err := p.client.Together(ctx, p.domain, k.Name, k.Kind)
		if err != nil || its == nil || !record.Newer(*serial, *its) {
			return a, err
		}
	}
	return resolver.Answer{}, fmt.Errorf("PTR %s: its servers differ, and the one that is ahead does not answer", k.Name)
}

// lags tells that an answer is of a server which is behind what was known before. It is passed over, unless nothing
// newer has been told for a while: then the zone itself was put back.
func (p *poller) lags(serial *uint32, now time.Time) bool {
	if serial == nil || p.serial == nil || !record.Newer(*p.serial, *serial) {
		p.behind = time.Time{}
		return false
	}
	if p.behind.IsZero() {
		p.behind = now
	}
	return now.Sub(p.behind) < behindTime
}

// ask asks for several sets at once.
func (p *poller) ask(ctx context.Context, keys []record.Key, serial bool) (changed bool) {
	type found struct {
		key     record.Key
		records []record.Record
		extra   []record.Record
		least   uint32
		err     error
	}
	results := make(chan found, askedAtOnce)
	go func() {
		var g errgroup.Group
		g.SetLimit(askedAtOnce)
		for _, k := range keys {
			g.Go(func() error {
				a, err := p.client.Ask(ctx, k.Name, k.Kind)
				results <- found{k, a.Records, a.Extra, a.Least, err}
				return nil
			})
		}
		_ = g.Wait()
		close(results)
	}()
	for r := range results {
		if r.err != nil {
			if ctx.Err() == nil { // else it was not given its time
				p.view.Fail(r.key, r.err.Error(), clock.Of(time.Now().Add(againAfter)))
			}
			continue
		}
		changed = p.put(r.key, r.records, r.least, serial) || changed
		changed = p.extra(r.extra, serial) || changed
	}
	return changed
}

// put takes in an answer and says when to ask again: at the end of its time, or, where the server has no serial that
// would show a change, at the next refresh.
func (p *poller) put(k record.Key, records []record.Record, least uint32, serial bool) bool {
	now := clock.Now()
	changed := p.view.Put(k, records, least, now)
	s := p.view.Get(k.Name, k.Kind)
	if s == nil {
		return changed
	}
	live := max(s.Until-now, int64(oftenest))
	if !serial {
		live = min(live, int64(p.Refresh))
	}
	s.Due = now + live*3/4 + rand.Int64N(live/4+1)
	return changed
}

// extra takes in what an answer tells along, as far as it would be asked for anyway.
func (p *poller) extra(records []record.Record, serial bool) (changed bool) {
	sets := map[record.Key][]record.Record{}
	for _, r := range records {
		k := record.Key{Name: r.Name, Kind: r.Kind}
		sets[k] = append(sets[k], r)
	}
	now := clock.Now()
	for k, all := range sets {
		if s := p.view.Get(k.Name, k.Kind); s == nil || s.Due <= now {
			changed = p.put(k, all, 0, serial) || changed
		}
	}
	return changed
}

func (p *poller) tell(now time.Time, serial *uint32) {
	p.told = now
	p.Tell(sight(p.view, p.Service, p.labels, Snapshot{Serial: serial, Way: Poll, At: now}))
}

// sight puts all instances together.
func sight(v *record.Cache, service record.Service, labels map[string]string, s Snapshot) Snapshot {
	var names []string
	names, s.Over = v.Instances(service)
	for _, name := range names {
		s.Instances = append(s.Instances, v.Assemble(name, labels[name]))
	}
	for name := range labels {
		if len(labels) > 2*len(names)+64 && v.Get(name, record.SRV) == nil {
			delete(labels, name)
		}
	}
	return s
}
