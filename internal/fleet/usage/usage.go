// Package usage is the actor round a node's ledger: it writes what the node charges, and has what others charged come here, a
// range at a time, beneath the traffic that the node serves.
package usage

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/fleet/invariant"
	"standpoint/internal/fleet/ledger"
)

const (
	queueMost  = 4096 // entries that wait to be written
	batchMost  = 256
	gather     = 3 * time.Millisecond // that a batch waits for more
	again      = 500 * time.Millisecond
	fetchMost  = 256 // entries of an answer
	rangesMost = 32  // that are asked for in a round
	digestMost = 16  // sources of an answer
	verifyEach = 10 * time.Second
)

// Options are what the actor is made of.
type Options struct {
	Dir   string
	Most  int64 // bytes of the ledger
	Seat  string
	Life  uint64
	Seats []string // the others
	Now   func() int64
	Every time.Duration // between two looks at another node's ledger
	Rate  float64       // entries a second that are taken from others, at the usual pace
	Pace  func() float64
	Ask   func(ctx context.Context, seat, what string, in, out any) error
	Guard *invariant.Guard
	Log   *zap.Logger
}

// Usage is the actor.
type Usage struct {
	Options
	queue  chan *ledger.Entry
	number uint64 // of the latest entry; the writer's alone: what is lost leaves no gap behind

	mu      sync.Mutex
	files   *ledger.Files
	book    *ledger.Book
	damages []*ledger.Damage

	charged, lost, taken, failed atomic.Uint64
	asked                        atomic.Uint64 // bytes are the fleet's to count; these are rounds
	agreed                       atomic.Int64  // when this ledger last lacked nothing of another's
	lacking                      atomic.Int64  // numbers that it lacked when it last looked
}

// Open reads the ledger. What of it does not hold is logged, and named in Status.
func Open(o Options) (*Usage, error) {
	u := &Usage{Options: o, queue: make(chan *ledger.Entry, queueMost), book: ledger.NewBook(o.Guard)}
	var err error
	if u.files, u.damages, err = ledger.Open(o.Dir, o.Most, func(e *ledger.Entry) { u.book.Take(e) }); err != nil {
		return nil, fmt.Errorf("ledger.dir: %w", err)
	}
	for _, d := range u.damages {
		if d.Torn {
			o.Log.Info("the ledger's last write was not finished; it was charged to nobody", zap.Error(d))
		} else {
			o.Log.Error("the ledger is damaged; what stands behind the damage in that segment is asked of the others", zap.Error(d))
		}
	}
	return u, nil
}

// Charge has an entry written. It does not wait. False: too many wait already, and the entry is lost; Full tells so before.
func (u *Usage) Charge(e ledger.Entry) bool {
	e.Seat, e.Life, e.At = u.Seat, u.Life, u.Now()
	select {
	case u.queue <- &e:
		return true
	default:
		u.lost.Add(1)
		return false
	}
}

// Lacking tells that this ledger lacked something of another's when it last looked.
func (u *Usage) Lacking() bool { return u.lacking.Load() > 0 || u.agreed.Load() == 0 }

// Full tells that the node charges faster than its disk takes it, or that the ledger has no room: nothing that would have to be
// charged may be taken on.
func (u *Usage) Full() bool {
	return len(u.queue) > queueMost/2 || u.failed.Load() > 0
}

// Run writes, and looks at others' ledgers, until ctx ends; what waits by then is written.
func (u *Usage) Run(ctx context.Context) {
	var both sync.WaitGroup
	both.Go(func() { u.write(ctx) })
	both.Go(func() { u.meet(ctx) })
	both.Wait()
}

func (u *Usage) write(ctx context.Context) {
	var batch []*ledger.Entry
	for {
		select {
		case <-ctx.Done():
			for len(u.queue) > 0 {
				batch = append(batch, u.numbered(<-u.queue))
			}
			u.append(batch)
			return
		case e := <-u.queue:
			batch = append(batch, u.numbered(e))
		}
		more := time.NewTimer(gather)
	collect:
		for len(batch) < batchMost {
			select {
			case e := <-u.queue:
				batch = append(batch, u.numbered(e))
			case <-more.C:
				break collect
			}
		}
		more.Stop()
		for !u.append(batch) { // a disk that is full may have room again
			select {
			case <-ctx.Done():
				return
			case <-time.After(again):
			}
		}
		batch = batch[:0]
	}
}

func (u *Usage) numbered(e *ledger.Entry) *ledger.Entry {
	u.number++
	e.Number = u.number
	return e
}

// append writes entries, and counts them once they are on the disk.
func (u *Usage) append(all []*ledger.Entry) bool {
	if len(all) == 0 {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if err := u.files.Append(all); err != nil {
		u.failed.Add(1)
		u.Log.Error("what was used cannot be written; nothing is charged meanwhile, and nothing taken on", zap.Int("entries", len(all)), zap.Error(err))
		return false
	}
	u.failed.Store(0)
	for _, e := range all {
		if u.book.Take(e) {
			u.charged.Add(1)
		}
	}
	return true
}

// ---- between nodes ----

// What one node asks another.
type (
	DigestAsk struct {
		After ledger.Source `cbor:"1,keyasint" json:"after"`
	}
	DigestAnswer struct {
		Have ledger.Digest `cbor:"1,keyasint" json:"have"`
		More bool          `cbor:"2,keyasint" json:"more"`
	}
	FetchAsk struct {
		Source  ledger.Source `cbor:"1,keyasint" json:"source"`
		Numbers ledger.Range  `cbor:"2,keyasint" json:"numbers"`
	}
	FetchAnswer struct {
		Entries []*ledger.Entry `cbor:"1,keyasint" json:"entries"`
	}
)

// Digest answers what this ledger has, some sources at a time.
func (u *Usage) Digest(a DigestAsk) (DigestAnswer, error) {
	u.mu.Lock()
	all := u.book.Digest()
	u.mu.Unlock()
	from, found := slices.BinarySearchFunc(all, a.After, func(h ledger.Have, s ledger.Source) int { return compare(h.Source, s) })
	if found {
		from++
	}
	all = all[from:]
	return DigestAnswer{all[:min(len(all), digestMost)], len(all) > digestMost}, nil
}

func compare(a, b ledger.Source) int {
	switch {
	case a.Seat < b.Seat || a.Seat == b.Seat && a.Life < b.Life:
		return -1
	case a == b:
		return 0
	}
	return 1
}

// Fetch answers entries.
func (u *Usage) Fetch(a FetchAsk) (FetchAnswer, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	all, err := u.files.Read(a.Source, a.Numbers, fetchMost)
	return FetchAnswer{all}, err
}

// meet looks at one other ledger after the other.
func (u *Usage) meet(ctx context.Context) {
	verify := time.Now()
	for {
		wait := time.Duration(float64(u.Every) * (0.5 + rand.Float64()))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if time.Since(verify) > verifyEach {
			verify = time.Now()
			u.mu.Lock()
			u.book.Verify()
			u.mu.Unlock()
		}
		if len(u.Seats) == 0 || u.Pace() == 0 {
			continue
		}
		seat := u.Seats[rand.IntN(len(u.Seats))]
		if err := u.catchUp(ctx, seat); err != nil && ctx.Err() == nil {
			u.Log.Debug("another node's ledger", zap.String("seat", seat), zap.Error(err))
		}
	}
}

// catchUp takes what another ledger has and this one has not. Broken off anywhere, it goes on there the next time: what has
// come is written, and lacks no more.
func (u *Usage) catchUp(ctx context.Context, seat string) error {
	u.asked.Add(1)
	var after ledger.Source
	lacking := int64(0)
	for {
		var d DigestAnswer
		if err := u.Ask(ctx, seat, "ledger.digest", DigestAsk{after}, &d); err != nil {
			return err
		}
		for {
			u.mu.Lock()
			lacks := u.book.Lacks(d.Have, rangesMost)
			u.mu.Unlock()
			if len(lacks) == 0 {
				break
			}
			before := u.taken.Load()
			for _, h := range lacks {
				for _, r := range h.Ranges {
					lacking += int64(r.Last-r.First) + 1
					if err := u.fetch(ctx, seat, h.Source, r); err != nil {
						u.lacking.Store(lacking)
						return err
					}
				}
			}
			if u.taken.Load() == before {
				return errors.New("what it says it has does not come")
			}
		}
		if !d.More || len(d.Have) == 0 {
			u.agreed.Store(u.Now())
			u.lacking.Store(0)
			return nil
		}
		after = d.Have[len(d.Have)-1].Source
	}
}

// fetch takes a range, a piece at a time, at its pace.
func (u *Usage) fetch(ctx context.Context, seat string, of ledger.Source, r ledger.Range) error {
	for r.First <= r.Last {
		var a FetchAnswer
		if err := u.Ask(ctx, seat, "ledger.fetch", FetchAsk{of, r}, &a); err != nil {
			return err
		}
		if len(a.Entries) == 0 {
			return nil // it has them no more, or cannot read them; another may
		}
		if slices.Contains(a.Entries, nil) {
			return errors.New("an answer with entries that are none")
		}
		var good []*ledger.Entry
		u.mu.Lock()
		for _, e := range a.Entries {
			if e.Check() == nil && e.Seat == of.Seat && e.Life == of.Life && e.Number >= r.First && e.Number <= r.Last &&
				(e.Seat != u.Seat || e.Life != u.Life) && len(u.book.Lacks(ledger.Digest{{Source: of, Ranges: []ledger.Range{{First: e.Number, Last: e.Number}}}}, 1)) > 0 {
				good = append(good, e)
			}
		}
		u.mu.Unlock()
		if !u.append(good) {
			return ledger.ErrFull
		}
		u.taken.Add(uint64(len(good)))
		last := a.Entries[len(a.Entries)-1].Number
		if last < r.First {
			return errors.New("entries that were not asked for")
		}
		r.First = last + 1
		rate := max(1, u.Rate*u.Pace())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(float64(len(a.Entries)) / rate * 1e9)):
		}
	}
	return nil
}

// Status is how the ledger stands.
type Status struct {
	Seat    string                `json:"seat"`
	Life    uint64                `json:"life"`
	Entries int64                 `json:"entries"`
	Bytes   int64                 `json:"bytes"`
	Sums    map[string]ledger.Sum `json:"sums"` // by tenant, as far as known here
	Sources int                   `json:"sources"`
	Charged uint64                `json:"charged"` // here, by this life
	Taken   uint64                `json:"taken"`   // from others
	Lost    uint64                `json:"lost"`    // that could not wait to be written
	Waiting int                   `json:"waiting"`
	Lacking int64                 `json:"lacking"` // of another's, when it was last looked at
	Agreed  float64               `json:"agreed"`  // seconds since this ledger lacked nothing of another's; -1: it never has
	Holds   bool                  `json:"holds"`   // the sums are those of the entries
	Damages []string              `json:"damages"`
}

// Status tells how the ledger stands.
func (u *Usage) Status() Status {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := Status{Seat: u.Seat, Life: u.Life, Entries: u.book.Entries(), Bytes: u.files.Bytes(), Sums: u.book.Sums(), Sources: len(u.book.Digest()), Charged: u.charged.Load(),
		Taken: u.taken.Load(), Lost: u.lost.Load(), Waiting: len(u.queue), Lacking: u.lacking.Load(), Agreed: -1, Holds: u.book.Verify(), Damages: []string{}}
	if at := u.agreed.Load(); at > 0 {
		s.Agreed = time.Duration(u.Now() - at).Seconds()
	}
	for _, d := range u.damages {
		s.Damages = append(s.Damages, d.Error())
	}
	return s
}

// Close ends the writing; Run has ended.
func (u *Usage) Close() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.files.Close()
}
