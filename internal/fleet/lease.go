package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"standpoint/internal/fleet/lease"
	"standpoint/internal/fleet/quota"
	"standpoint/internal/store"
	"standpoint/internal/transient"
)

const (
	leaseKeyPrefix = "fleet/seat/" // prefix of the store keys of lease records; the slot's name follows
	claimMethod    = "seat"        // name of the leader's method that grants leases
)

const (
	maxClaimInterval = 2 * time.Second // maximum interval between claims while they fail
	// initialClaimInterval is the initial value of that interval. Each failed claim, the first one included, doubles the
	// interval, up to maxClaimInterval.
	initialClaimInterval = maxClaimInterval / 8
	renewalsPerLease     = 3 // minimum number of renewals within the duration of a lease
)

// handleLeaseClaim grants a slot, or renews its lease. It is called on the store's leader.
func (f *Fleet) handleLeaseClaim(ctx context.Context, body []byte) ([]byte, error) {
	var claim lease.Claim
	if err := json.Unmarshal(body, &claim); err != nil {
		return nil, err
	}
	if f.slotIndex(claim.Slot) < 0 {
		return nil, fmt.Errorf("%q is no seat of this fleet", claim.Slot)
	}
	key := leaseKeyPrefix + claim.Slot
	stored := f.Store.Get(key)
	var record lease.Record
	if stored.Version != 0 {
		if err := json.Unmarshal(stored.Data, &record); err != nil {
			return nil, fmt.Errorf("the record of seat %q cannot be read: %w", claim.Slot, err)
		}
	}
	granted, err := lease.Decide(record, claim, f.Now(), f.MemberConfig.ClockError)
	if err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(granted)
	if err != nil {
		return nil, err
	}
	if _, err := f.Store.Write(ctx, store.Op{Key: key, Data: encoded, ExpectedVersion: stored.Version}); err != nil {
		return nil, err
	}
	return encoded, nil
}

// maintainLease claims the node's slot, and renews its lease before it expires, until ctx is done. A node whose
// claims fail continues under its last lease until that expires.
func (f *Fleet) maintainLease(ctx context.Context) {
	interval := initialClaimInterval
	for {
		record, err := f.claimSlot(ctx)
		if err == nil && record.Incarnation == f.incarnation {
			f.applyLease(record)
			interval = f.LeaseDuration / renewalsPerLease
		} else {
			if ctx.Err() == nil {
				f.Log.Info("lease not granted", zap.String("slot", f.SlotName), zap.Error(err))
			}
			interval = min(maxClaimInterval, 2*interval, f.LeaseDuration/renewalsPerLease)
		}
		// Half of the interval is random, since all nodes of a fleet may have started at the same time.
		if !transient.Sleep(ctx, interval/2+time.Duration(float64(interval)/2*rand.Float64())) {
			return
		}
	}
}

// claimSlot claims the node's slot from the leader, and returns the record that the leader wrote.
func (f *Fleet) claimSlot(ctx context.Context) (lease.Record, error) {
	claim := lease.Claim{
		Slot:         f.SlotName,
		Incarnation:  f.incarnation,
		Predecessors: f.predecessors,
		Duration:     f.LeaseDuration,
		ClaimantTime: f.Now(),
	}
	var record lease.Record
	err := f.CallLeader(ctx, claimMethod, claim, &record)
	return record, err
}

// applyLease puts a lease that was granted to this incarnation into effect.
func (f *Fleet) applyLease(record lease.Record) {
	f.mu.Lock()
	if record.FencingToken != f.lease.FencingToken {
		f.Log.Info("lease granted", zap.String("slot", f.SlotName),
			zap.Uint64("fencing_token", record.FencingToken), zap.Bool("successor", record.Successor))
	}
	f.lease = quota.Lease{
		FencingToken: record.FencingToken,
		ValidFrom:    record.ValidFrom,
		ExpiresAt:    record.ExpiresAt,
		Successor:    record.Successor,
	}
	f.member.SetLease(f.lease)
	f.mu.Unlock()
	if err := f.directory.ConfirmGrant(f.incarnation); err != nil {
		f.Log.Error("lease grant not persisted", zap.String("dir", f.Dir), zap.Error(err))
	}
}
