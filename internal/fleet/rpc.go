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

	"standpoint/internal/fleet/lease"
	"standpoint/internal/fleet/quota"
	"standpoint/internal/store"
)

// Kinds of messages.
const (
	kindPacket = iota + 1
	kindRequest
	kindResponse
)

const callTimeout = 1500 * time.Millisecond // in which a call has its answer, or none is waited for

// rpcRequest is something that only the store's leader can do. It may be carried out although its answer is lost: whatever is done
// by calls may be done twice.
type rpcRequest struct {
	ID     uint64 `cbor:"1,keyasint"`
	From   int    `cbor:"2,keyasint"`
	Method string `cbor:"3,keyasint"`
	Body   []byte `cbor:"4,keyasint"`
}

type rpcResponse struct {
	ID   uint64 `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"`
	// Error is why it was not done. Elsewhere tells that this node does not lead.
	Error     string `cbor:"3,keyasint,omitempty"`
	NotLeader bool   `cbor:"4,keyasint,omitempty"`
	Leader    string `cbor:"5,keyasint,omitempty"` // who does, as far as known here
}

// ErrNoLeader is returned where nobody who leads can be reached: this node cannot know, nor change, what the fleet agrees on.
var ErrNoLeader = errors.New("no leader of the store can be reached")

// RejectedError is a leader's no.
type RejectedError string

// Error implements error.
func (r RejectedError) Error() string { return string(r) }

// handler is what a node does when it is called for it: everywhere, or where it leads alone.
type handler struct {
	handle      func(context.Context, []byte) ([]byte, error)
	onAnyMember bool
}

// HandleOnLeader says what this node does, once it leads, when it is called for it.
func (f *Fleet) HandleOnLeader(what string, do func(context.Context, []byte) ([]byte, error)) {
	f.callsMu.Lock()
	defer f.callsMu.Unlock()
	f.handlers[what] = handler{do, false}
}

// HandleOnAnyMember says what this node answers whoever asks it, whether or not it leads.
func HandleOnAnyMember[In, Out any](f *Fleet, what string, do func(In) (Out, error)) {
	f.callsMu.Lock()
	defer f.callsMu.Unlock()
	f.handlers[what] = handler{func(_ context.Context, body []byte) ([]byte, error) {
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

// CallMember asks one seat.
func (f *Fleet) CallMember(ctx context.Context, name, what string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	seat := slices.IndexFunc(f.Slots, func(s SlotAddress) bool { return s.Name == name })
	if seat < 0 || seat == f.MemberConfig.Owner.Slot {
		return fmt.Errorf("%q is no other seat", name)
	}
	a, err := f.roundTrip(ctx, seat, what, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(a.Body, out)
}

// CallLeader has the store's leader do something. An error that is no Refusal leaves open whether it was done.
func (f *Fleet) CallLeader(ctx context.Context, what string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	var back []byte
	if _, leads := f.Store.Leadership(); leads && !f.IsSite() {
		f.callsMu.Lock()
		d := f.handlers[what]
		f.callsMu.Unlock()
		back, err = d.handle(ctx, body)
	} else {
		back, err = f.callRemoteLeader(ctx, what, body)
	}
	if err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(back, out)
}

// IsSite tells that this node's seat is none of the halls': its own store decides nothing for the fleet.
func (f *Fleet) IsSite() bool {
	return len(f.CoreSlots) > 0 && !slices.Contains(f.CoreSlots, f.SlotName)
}

// callRemoteLeader asks the leader of the halls' store, found by asking the halls where it is not known.
func (f *Fleet) callRemoteLeader(ctx context.Context, what string, body []byte) ([]byte, error) {
	leader := f.Store.Leader()
	if f.IsSite() {
		f.callsMu.Lock()
		leader = f.coreLeader
		f.callsMu.Unlock()
		if leader == "" {
			leader = f.CoreSlots[rand.IntN(len(f.CoreSlots))]
		}
	}
	for range 2 {
		seat := slices.IndexFunc(f.Slots, func(s SlotAddress) bool { return s.Name == leader })
		if seat < 0 || seat == f.MemberConfig.Owner.Slot {
			break
		}
		a, err := f.roundTrip(ctx, seat, what, body)
		f.callsMu.Lock()
		f.coreLeader = ""
		if err == nil && !a.NotLeader {
			f.coreLeader = leader
		}
		f.callsMu.Unlock()
		if err != nil || !a.NotLeader {
			return a.Body, err
		}
		if !f.IsSite() || a.Leader == "" {
			break
		}
		leader = a.Leader
	}
	return nil, ErrNoLeader
}

// roundTrip asks a seat, and waits for its answer.
func (f *Fleet) roundTrip(ctx context.Context, seat int, what string, body []byte) (rpcResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	came := make(chan rpcResponse, 1)
	f.callsMu.Lock()
	f.nextCallID++
	c := rpcRequest{ID: f.nextCallID, From: f.MemberConfig.Owner.Slot, Method: what, Body: body}
	f.pendingCalls[c.ID] = came
	f.callsMu.Unlock()
	defer func() {
		f.callsMu.Lock()
		defer f.callsMu.Unlock()
		delete(f.pendingCalls, c.ID)
	}()
	failed := make(chan error, 1)
	go func() { failed <- f.sendReliable(seat, kindRequest, c) }()
	for {
		select {
		case <-ctx.Done():
			return rpcResponse{}, fmt.Errorf("%w: no answer from %s", ErrNoLeader, f.Slots[seat].Name)
		case err := <-failed:
			if err != nil {
				return rpcResponse{}, fmt.Errorf("%w: %v", ErrNoLeader, err)
			}
		case a := <-came:
			if a.Error != "" {
				return a, RejectedError(a.Error)
			}
			return a, nil
		}
	}
}

// sendReliable sends a message that the library has to bring there, or say that it could not.
func (f *Fleet) sendReliable(to int, kind byte, v any) error {
	raw, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	f.sentBytes.Add(uint64(len(raw)))
	return f.memberlist.SendReliable(f.memberNode(to), append([]byte{kind}, raw...))
}

// handleRequest carries a call of another node out, beside what else is read.
func (f *Fleet) handleRequest(ctx context.Context, raw []byte) {
	var c rpcRequest
	if err := decoding.Unmarshal(raw, &c); err != nil || c.From < 0 || c.From >= len(f.Slots) || c.From == f.MemberConfig.Owner.Slot {
		f.Log.Info("a call that cannot be read", zap.Error(err))
		return
	}
	select {
	case f.callSemaphore <- struct{}{}:
	default:
		return // the caller hears nothing, and calls again
	}
	go func() {
		defer func() { <-f.callSemaphore }()
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		a := rpcResponse{ID: c.ID}
		f.callsMu.Lock()
		d := f.handlers[c.Method]
		f.callsMu.Unlock()
		var err error
		_, leads := f.Store.Leadership()
		switch {
		case d.handle == nil:
			err = fmt.Errorf("nobody here does %q", c.Method)
		case !d.onAnyMember && (!leads || f.IsSite()):
			a.NotLeader, a.Leader = true, f.Store.Leader()
		default:
			a.Body, err = d.handle(ctx, c.Body)
		}
		switch {
		case errors.Is(err, store.ErrNotLeader):
			a.NotLeader = true
		case err != nil:
			a.Error = err.Error()
		}
		if err := f.sendReliable(c.From, kindResponse, a); err != nil {
			f.Log.Info("an answer could not be given", zap.String("to", f.Slots[c.From].Name), zap.Error(err))
		}
	}()
}

func (f *Fleet) handleResponse(raw []byte) {
	var a rpcResponse
	if err := decoding.Unmarshal(raw, &a); err != nil {
		return
	}
	f.callsMu.Lock()
	defer f.callsMu.Unlock()
	if came := f.pendingCalls[a.ID]; came != nil {
		select {
		case came <- a:
		default:
		}
	}
}

// ---- the seat ----

const leaseKeyPrefix = "fleet/seat/"

// handleLeaseClaim gives a seat, or gives it anew, where this node leads.
func (f *Fleet) handleLeaseClaim(ctx context.Context, body []byte) ([]byte, error) {
	var c lease.Claim
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	if !slices.ContainsFunc(f.Slots, func(s SlotAddress) bool { return s.Name == c.Slot }) {
		return nil, fmt.Errorf("%q is no seat of this fleet", c.Slot)
	}
	v := f.Store.Get(leaseKeyPrefix + c.Slot)
	var r lease.Record
	if v.Version != 0 {
		if err := json.Unmarshal(v.Data, &r); err != nil {
			return nil, fmt.Errorf("the record of seat %q cannot be read: %w", c.Slot, err)
		}
	}
	next, err := lease.Decide(r, c, f.Now(), f.MemberConfig.ClockError)
	if err != nil {
		return nil, err
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return nil, err
	}
	if _, err := f.Store.Write(ctx, store.Op{Key: leaseKeyPrefix + c.Slot, Data: raw, ExpectedVersion: v.Version}); err != nil {
		return nil, err
	}
	return raw, nil
}

// maintainLease claims the node's seat, and claims it anew in time. A node that cannot goes on by its last lease until that ends.
func (f *Fleet) maintainLease(ctx context.Context) {
	again := claimRetryInterval / 8
	for {
		var r lease.Record
		err := f.CallLeader(ctx, "seat", lease.Claim{Slot: f.SlotName, Incarnation: f.incarnation, Predecessors: f.predecessors, Duration: f.LeaseDuration, ClaimantTime: f.Now()}, &r)
		if err == nil && r.Incarnation == f.incarnation {
			f.mu.Lock()
			if r.FencingToken != f.lease.FencingToken {
				f.Log.Info("this life has its seat", zap.String("seat", f.SlotName), zap.Uint64("epoch", r.FencingToken), zap.Bool("heir", r.Successor))
			}
			f.lease = quota.Lease{FencingToken: r.FencingToken, ValidFrom: r.ValidFrom, ExpiresAt: r.ExpiresAt, Successor: r.Successor}
			f.member.SetLease(f.lease)
			f.mu.Unlock()
			if err := f.directory.ConfirmGrant(f.incarnation); err != nil {
				f.Log.Error("fleet.dir: whose the seat is cannot be noted", zap.Error(err))
			}
			again = f.LeaseDuration / 3
		} else {
			if ctx.Err() == nil {
				f.Log.Info("the seat was not given", zap.String("seat", f.SlotName), zap.Error(err))
			}
			again = min(claimRetryInterval, 2*again, f.LeaseDuration/3)
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
