package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"standpoint/internal/fleet/rights"
	"standpoint/internal/fleet/seat"
	"standpoint/internal/store"
)

// Kinds of messages.
const (
	kindPacket = iota + 1
	kindCall
	kindAnswer
)

const callTime = 1500 * time.Millisecond // in which a call has its answer, or none is waited for

// call is something that only the store's leader can do. It may be carried out although its answer is lost: whatever is done
// by calls may be done twice.
type call struct {
	ID   uint64 `cbor:"1,keyasint"`
	From int    `cbor:"2,keyasint"`
	What string `cbor:"3,keyasint"`
	Body []byte `cbor:"4,keyasint"`
}

type answer struct {
	ID   uint64 `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"`
	// Fault is why it was not done. Elsewhere tells that this node does not lead.
	Fault     string `cbor:"3,keyasint,omitempty"`
	Elsewhere bool   `cbor:"4,keyasint,omitempty"`
	Leader    string `cbor:"5,keyasint,omitempty"` // who does, as far as known here
}

// ErrNoLeader is returned where nobody who leads can be reached: this node cannot know, nor change, what the fleet agrees on.
var ErrNoLeader = errors.New("no leader of the store can be reached")

// Refusal is a leader's no.
type Refusal string

// Error implements error.
func (r Refusal) Error() string { return string(r) }

// doer is what a node does when it is called for it: everywhere, or where it leads alone.
type doer struct {
	do         func(context.Context, []byte) ([]byte, error)
	everywhere bool
}

// Does says what this node does, once it leads, when it is called for it.
func (f *Fleet) Does(what string, do func(context.Context, []byte) ([]byte, error)) {
	f.calls.Lock()
	defer f.calls.Unlock()
	f.does[what] = doer{do, false}
}

// Answers says what this node answers whoever asks it, whether or not it leads.
func Answers[In, Out any](f *Fleet, what string, do func(In) (Out, error)) {
	f.calls.Lock()
	defer f.calls.Unlock()
	f.does[what] = doer{func(_ context.Context, body []byte) ([]byte, error) {
		var in In
		if err := json.Unmarshal(body, &in); err != nil {
			return nil, err
		}
		out, err := do(in)
		if err != nil {
			return nil, err
		}
		return json.Marshal(out)
	}, true}
}

// Ask asks one seat.
func (f *Fleet) Ask(ctx context.Context, name, what string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	seat := slices.IndexFunc(f.Seats, func(s Reach) bool { return s.Name == name })
	if seat < 0 || seat == f.Member.Own.Seat {
		return fmt.Errorf("%q is no other seat", name)
	}
	a, err := f.ask(ctx, seat, what, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(a.Body, out)
}

// Call has the store's leader do something. An error that is no Refusal leaves open whether it was done.
func (f *Fleet) Call(ctx context.Context, what string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	var back []byte
	if _, leads := f.Keys.Leads(); leads && !f.Site() {
		f.calls.Lock()
		d := f.does[what]
		f.calls.Unlock()
		back, err = d.do(ctx, body)
	} else {
		back, err = f.askLeader(ctx, what, body)
	}
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(back, out)
}

// Site tells that this node's seat is none of the halls': its own store decides nothing for the fleet.
func (f *Fleet) Site() bool { return len(f.Halls) > 0 && !slices.Contains(f.Halls, f.Name) }

// askLeader asks the leader of the halls' store, found by asking the halls where it is not known.
func (f *Fleet) askLeader(ctx context.Context, what string, body []byte) ([]byte, error) {
	leader := f.Keys.Leader()
	if f.Site() {
		f.calls.Lock()
		leader = f.leader
		f.calls.Unlock()
		if leader == "" {
			leader = f.Halls[rand.IntN(len(f.Halls))]
		}
	}
	for range 2 {
		seat := slices.IndexFunc(f.Seats, func(s Reach) bool { return s.Name == leader })
		if seat < 0 || seat == f.Member.Own.Seat {
			break
		}
		a, err := f.ask(ctx, seat, what, body)
		f.calls.Lock()
		f.leader = ""
		if err == nil && !a.Elsewhere {
			f.leader = leader
		}
		f.calls.Unlock()
		if err != nil || !a.Elsewhere {
			return a.Body, err
		}
		if !f.Site() || a.Leader == "" {
			break
		}
		leader = a.Leader
	}
	return nil, ErrNoLeader
}

// ask asks a seat, and waits for its answer.
func (f *Fleet) ask(ctx context.Context, seat int, what string, body []byte) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	came := make(chan answer, 1)
	f.calls.Lock()
	f.nextID++
	c := call{ID: f.nextID, From: f.Member.Own.Seat, What: what, Body: body}
	f.waiting[c.ID] = came
	f.calls.Unlock()
	defer func() {
		f.calls.Lock()
		defer f.calls.Unlock()
		delete(f.waiting, c.ID)
	}()
	failed := make(chan error, 1)
	go func() { failed <- f.tell(seat, kindCall, c) }()
	for {
		select {
		case <-ctx.Done():
			return answer{}, fmt.Errorf("%w: no answer from %s", ErrNoLeader, f.Seats[seat].Name)
		case err := <-failed:
			if err != nil {
				return answer{}, fmt.Errorf("%w: %v", ErrNoLeader, err)
			}
		case a := <-came:
			if a.Fault != "" {
				return a, Refusal(a.Fault)
			}
			return a, nil
		}
	}
}

// tell sends a message that the library has to bring there, or say that it could not.
func (f *Fleet) tell(to int, kind byte, v any) error {
	raw, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	f.sent.Add(uint64(len(raw)))
	return f.list.SendReliable(f.node(to), append([]byte{kind}, raw...))
}

// called carries a call of another node out, beside what else is read.
func (f *Fleet) called(ctx context.Context, raw []byte) {
	var c call
	if err := decoding.Unmarshal(raw, &c); err != nil || c.From < 0 || c.From >= len(f.Seats) || c.From == f.Member.Own.Seat {
		f.Log.Info("a call that cannot be read", zap.Error(err))
		return
	}
	select {
	case f.busy <- struct{}{}:
	default:
		return // the caller hears nothing, and calls again
	}
	go func() {
		defer func() { <-f.busy }()
		ctx, cancel := context.WithTimeout(ctx, callTime)
		defer cancel()
		a := answer{ID: c.ID}
		f.calls.Lock()
		d := f.does[c.What]
		f.calls.Unlock()
		var err error
		_, leads := f.Keys.Leads()
		switch {
		case d.do == nil:
			err = fmt.Errorf("nobody here does %q", c.What)
		case !d.everywhere && (!leads || f.Site()):
			a.Elsewhere, a.Leader = true, f.Keys.Leader()
		default:
			a.Body, err = d.do(ctx, c.Body)
		}
		switch {
		case errors.Is(err, store.ErrNotLeader):
			a.Elsewhere = true
		case err != nil:
			a.Fault = err.Error()
		}
		if err := f.tell(c.From, kindAnswer, a); err != nil {
			f.Log.Info("an answer could not be given", zap.String("to", f.Seats[c.From].Name), zap.Error(err))
		}
	}()
}

func (f *Fleet) answered(raw []byte) {
	var a answer
	if err := decoding.Unmarshal(raw, &a); err != nil {
		return
	}
	f.calls.Lock()
	defer f.calls.Unlock()
	if came := f.waiting[a.ID]; came != nil {
		select {
		case came <- a:
		default:
		}
	}
}

// ---- the seat ----

const seatKey = "fleet/seat/"

// claimed gives a seat, or gives it anew, where this node leads.
func (f *Fleet) claimed(ctx context.Context, body []byte) ([]byte, error) {
	var c seat.Claim
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	if !slices.ContainsFunc(f.Seats, func(s Reach) bool { return s.Name == c.Name }) {
		return nil, fmt.Errorf("%q is no seat of this fleet", c.Name)
	}
	v := f.Keys.Get(seatKey + c.Name)
	var r seat.Record
	if v.Version != 0 {
		if err := json.Unmarshal(v.Data, &r); err != nil {
			return nil, fmt.Errorf("the record of seat %q cannot be read: %w", c.Name, err)
		}
	}
	next, err := seat.Decide(r, c, f.Now(), f.Member.Error)
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return nil, err
	}
	if _, err := f.Keys.Write(ctx, store.Op{Key: seatKey + c.Name, Data: raw, If: v.Version}); err != nil {
		return nil, err
	}
	return raw, nil
}

// keepSeat claims the node's seat, and claims it anew in time. A node that cannot goes on by its last lease until that ends.
func (f *Fleet) keepSeat(ctx context.Context) {
	again := claimAgain / 8
	for {
		var r seat.Record
		err := f.Call(ctx, "seat", seat.Claim{Name: f.Name, Inc: f.inc, Before: f.before, For: f.Lease, Clock: f.Now()}, &r)
		if err == nil && r.Inc == f.inc {
			f.mu.Lock()
			if r.Epoch != f.lease.Epoch {
				f.Log.Info("this life has its seat", zap.String("seat", f.Name), zap.Uint64("epoch", r.Epoch), zap.Bool("heir", r.Heir))
			}
			f.lease = rights.Lease{Epoch: r.Epoch, First: r.First, Until: r.Until, Heir: r.Heir}
			f.m.Lease(f.lease)
			f.mu.Unlock()
			if err := f.folder.Given(f.inc); err != nil {
				f.Log.Error("fleet.dir: whose the seat is cannot be noted", zap.Error(err))
			}
			again = f.Lease / 3
		} else {
			if ctx.Err() == nil {
				f.Log.Info("the seat was not given", zap.String("seat", f.Name), zap.Error(err))
			}
			again = min(claimAgain, 2*again, f.Lease/3)
		}
		// All nodes of a fleet may have started together.
		timer := time.NewTimer(again/2 + time.Duration(float64(again)/2*f.draw()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}
