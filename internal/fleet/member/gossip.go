package member

import (
	"slices"

	"standpoint/internal/fleet/outlier"
)

// samplePeers draws up to count slots to send a packet to. Slots that are not listed are drawn too, with a lower
// probability: otherwise the end of a partition would not be detected.
func (m *Member) samplePeers(count int, listed func(slot int) bool) []int {
	const (
		drawsPerPeer   = 4 // maximum number of draws for each peer
		unlistedChance = 8 // an unlisted slot that is drawn is used with a probability of one in this number
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

// buildPacket returns the packet to send to a slot now: this node's update, up to MaxForwardedUpdates of other
// nodes, heartbeat ages, and the quota messages that are pending for the slot.
func (m *Member) buildPacket(to int) Packet {
	packet := Packet{From: m.Owner, Updates: []Update{m.ownUpdate()}, QuotaMessages: m.pendingMessages[to]}
	firstSlot := m.rng.IntN(len(m.Slots))
	for _, unforwarded := range []bool{true, false} { // updates that have not been forwarded come first
		for i := range m.Slots {
			slot := (firstSlot + i) % len(m.Slots)
			full := len(packet.Updates) > MaxForwardedUpdates
			if !full && m.forwards(slot, to) && m.unforwarded[slot] == unforwarded {
				packet.Updates = append(packet.Updates, m.updates[slot])
				m.unforwarded[slot] = false
			}
		}
	}
	m.addHeartbeats(&packet, firstSlot)
	return packet
}

// forwards reports whether there is an update of a slot to forward to another slot.
func (m *Member) forwards(slot, to int) bool {
	return slot != to && slot != m.Owner.Slot && m.incarnations[slot] != 0
}

// addHeartbeats adds the times since the slots were alive to a packet. They are ages rather than times, so that
// differences between clocks do not affect which nodes count as alive. If not all slots fit, firstSlot is the index of
// the first one included.
func (m *Member) addHeartbeats(packet *Packet, firstSlot int) {
	packet.AgeUnit = int64(max(minAgeUnit, m.HeartbeatTimeout/(ageUnknown-1)))
	if len(m.Slots) > MaxHeartbeats {
		packet.FirstSlot = firstSlot
	}
	for i := range min(len(m.Slots), MaxHeartbeats) {
		slot := (packet.FirstSlot + i) % len(m.Slots)
		packet.HeartbeatAges = append(packet.HeartbeatAges, m.heartbeatAge(slot, packet.AgeUnit))
	}
}

// heartbeatAge returns the time since a slot was alive as a multiple of unit, which is in nanoseconds, rounded up. It
// returns ageUnknown if the slot was never alive or the multiple does not fit.
func (m *Member) heartbeatAge(slot int, unit int64) byte {
	age := (m.now - m.lastAlive[slot] + unit - 1) / unit
	if m.lastAlive[slot] == 0 || age >= ageUnknown {
		return ageUnknown
	}
	return byte(age)
}

// ownUpdate returns the update that this node publishes of itself. Successive updates begin with the surplus of
// another budget each, so that all are published although an update has at most MaxSurpluses.
func (m *Member) ownUpdate() Update {
	update := Update{Counters: m.Counters.OwnSnapshot(m.now), Evidence: m.Detector.EvidenceToPublish(m.now)}
	for i := range m.Allocations {
		if len(update.Surpluses) >= MaxSurpluses {
			break
		}
		budget := (m.firstSurplusBudget + i) % len(m.Allocations)
		allocation := m.Allocations[budget]
		window := allocation.CurrentWindow()
		if surplus := allocation.Surplus(window, window+int64(allocation.TransferWindows)-1); surplus > 0 {
			update.Surpluses = append(update.Surpluses, Surplus{Budget: budget, Amount: surplus})
		}
	}
	m.firstSurplusBudget++
	return update
}

// markAlive records that a slot was alive at a time. A time in the future counts as the present.
func (m *Member) markAlive(slot int, at int64) {
	if slot >= 0 && slot < len(m.lastAlive) && slot != m.Owner.Slot {
		m.lastAlive[slot] = max(m.lastAlive[slot], min(at, m.now))
	}
}

// mergeUpdate merges an update into this node's state, unless it is malformed or not newer.
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
