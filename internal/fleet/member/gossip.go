package member

import (
	"slices"

	"standpoint/internal/fleet/outlier"
)

// drawPeers draws up to count slots that a packet goes to. Those that are not listed are tried too, now and then:
// nobody else would find out that a partition has healed.
func (m *Member) drawPeers(count int, listed func(slot int) bool) []int {
	const (
		drawsPerPeer   = 4
		unlistedChance = 8 // one in
	)
	var peers []int
	for range drawsPerPeer * count {
		slot := m.rng.IntN(len(m.Slots))
		if len(peers) >= count || len(m.Slots) < 2 {
			break
		}
		if slot == m.Owner.Slot || slices.Contains(peers, slot) {
			continue
		}
		if listed != nil && !listed(slot) && m.rng.IntN(unlistedChance) > 0 {
			continue
		}
		peers = append(peers, slot)
	}
	return peers
}

// buildPacket returns what a slot is sent now: this node's own update, some of others', heartbeats, and the quota
// messages that are pending for it.
func (m *Member) buildPacket(to int) Packet {
	packet := Packet{From: m.Owner, Updates: []Update{m.ownUpdate()}, QuotaMessages: m.pending[to]}
	first := m.rng.IntN(len(m.Slots))
	for _, unforwarded := range []bool{true, false} { // those that have not been forwarded come first
		for i := range m.Slots {
			slot := (first + i) % len(m.Slots)
			full := len(packet.Updates) > MaxForwardedUpdates
			if !full && m.forwards(slot, to) && m.unforwarded[slot] == unforwarded {
				packet.Updates = append(packet.Updates, m.updates[slot])
				m.unforwarded[slot] = false
			}
		}
	}
	m.addHeartbeats(&packet, first)
	return packet
}

// forwards reports whether there is an update of a slot that may be forwarded to another.
func (m *Member) forwards(slot, to int) bool {
	return slot != to && slot != m.Owner.Slot && m.incarnations[slot] != 0
}

// addHeartbeats puts in how long ago the slots were alive. They are ages and not times, so that nobody's clock
// matters for who is heard. Where there are more slots than fit, first is the one to begin with.
func (m *Member) addHeartbeats(packet *Packet, first int) {
	packet.AgeUnit = int64(max(minAgeUnit, m.HeartbeatTimeout/(ageUnknown-1)))
	if len(m.Slots) > MaxHeartbeats {
		packet.FirstSlot = first
	}
	for i := range min(len(m.Slots), MaxHeartbeats) {
		slot := (packet.FirstSlot + i) % len(m.Slots)
		packet.HeartbeatAges = append(packet.HeartbeatAges, m.heartbeatAge(slot, packet.AgeUnit))
	}
}

// heartbeatAge is how long ago a slot was alive, in units, rounded up.
func (m *Member) heartbeatAge(slot int, unit int64) byte {
	age := (m.now - m.lastAlive[slot] + unit - 1) / unit
	if m.lastAlive[slot] == 0 || age >= ageUnknown {
		return ageUnknown
	}
	return byte(age)
}

// ownUpdate is what this node says of itself. Which budgets' surpluses are in it goes round.
func (m *Member) ownUpdate() Update {
	update := Update{Counters: m.Counters.OwnSnapshot(m.now), Evidence: m.Detector.EvidenceToPublish(m.now)}
	for i := range m.Allocations {
		if len(update.Surpluses) >= MaxSurpluses {
			break
		}
		budget := (m.nextSurplus + i) % len(m.Allocations)
		allocation := m.Allocations[budget]
		window := allocation.CurrentWindow()
		if surplus := allocation.Surplus(window, window+int64(allocation.TransferWindows)-1); surplus > 0 {
			update.Surpluses = append(update.Surpluses, Surplus{Budget: budget, Amount: surplus})
		}
	}
	m.nextSurplus++
	return update
}

// markAlive notes that a slot was alive at a time, which is not in the future.
func (m *Member) markAlive(slot int, at int64) {
	if slot >= 0 && slot < len(m.lastAlive) && slot != m.Owner.Slot {
		m.lastAlive[slot] = max(m.lastAlive[slot], min(at, m.now))
	}
}

// mergeUpdate takes in an update, unless it is malformed or no news.
func (m *Member) mergeUpdate(update Update) {
	owner := update.Counters.Owner
	if owner.Slot < 0 || owner.Slot >= len(m.Slots) {
		return
	}
	if len(update.Surpluses) > MaxSurpluses || len(update.Evidence) > outlier.MaxEvidencePerNode {
		return
	}
	if !m.Counters.Merge(update.Counters, m.now) {
		return
	}
	for _, evidence := range update.Evidence {
		m.Detector.Receive(owner, m.Slots[owner.Slot].Zone, evidence, m.now)
	}
	if owner.Incarnation >= m.incarnations[owner.Slot] {
		m.incarnations[owner.Slot] = owner.Incarnation
		m.updates[owner.Slot] = update
		m.unforwarded[owner.Slot] = true
	}
}
