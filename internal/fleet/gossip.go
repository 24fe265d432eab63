package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"standpoint/internal/fleet/member"
)

// rejoinInterval is the time between two attempts to join a slot that is missing from the member list.
const rejoinInterval = time.Second

// Kinds of messages between nodes. The kind is the first byte of a message, and is followed by CBOR.
const (
	kindPacket = iota + 1
	kindRequest
	kindResponse
)

// maxMessageBytes is the maximum size of a received message, in bytes. Larger ones are dropped.
const maxMessageBytes = 64 << 10

// decoding decodes messages from the network. Its limits keep a malformed message from taking more memory than a
// valid one.
var decoding = newDecoding()

func newDecoding() cbor.DecMode {
	options := cbor.DecOptions{
		MaxArrayElements: 8192,
		MaxMapPairs:      64,
		MaxNestedLevels:  8,
		IndefLength:      cbor.IndefLengthForbidden,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // cannot happen: the options are constants
	}
	return mode
}

// tick sends this node's packets, updates the connectivity of a remote site, and passes the suspicions that follow from
// the evidence of other nodes to the decision module.
func (f *Fleet) tick() {
	listed := f.listedMembers()
	f.mu.Lock()
	outgoing := f.member.Tick(f.Now(), func(slot int) bool { return listed[f.Slots[slot].Name] })
	advice := f.outlierAdvice()
	f.updateSiteConnectivity()
	f.mu.Unlock()
	f.sendPackets(outgoing)
	if f.Advise != nil && len(advice.Suspicions) > 0 {
		f.Advise(advice)
	}
}

// updateSiteConnectivity updates the connectivity state of a remote site. The caller holds f.mu.
func (f *Fleet) updateSiteConnectivity() {
	if f.siteConnectivity == nil {
		return
	}
	dataMissing := f.LedgerOutOfSync != nil && f.LedgerOutOfSync()
	if f.siteConnectivity.Update(f.Now(), f.coreAlive(), dataMissing) {
		state, _ := f.siteConnectivity.Current()
		f.Log.Info("site connectivity changed", zap.Stringer("state", state))
	}
}

func (f *Fleet) sendPackets(outgoing []member.Outgoing) {
	for _, o := range outgoing {
		encoded, err := cbor.Marshal(o.Packet)
		if err != nil {
			f.Log.Error("packet not encoded", zap.Error(err))
			continue
		}
		f.sentBytes.Add(uint64(len(encoded)))
		_ = f.memberlist.SendBestEffort(f.memberNode(o.To), frame(kindPacket, encoded)) // packets may be lost
	}
}

// frame returns a message of a kind: the kind byte and the encoded content.
func frame(kind byte, encoded []byte) []byte { return append([]byte{kind}, encoded...) }

// rejoin tries to join one slot that is missing from the member list, chosen at random. The library does not
// reconnect the two sides of a partition by itself.
func (f *Fleet) rejoin() {
	listed := f.listedMembers()
	var missing []SlotAddress
	for _, slot := range f.Slots {
		if !listed[slot.Name] {
			missing = append(missing, slot)
		}
	}
	if len(missing) == 0 {
		return
	}
	slot := missing[rand.IntN(len(missing))]
	// Join is not awaited, since it may take as long as a dial. It fails if the node is down.
	go func() { _, _ = f.memberlist.Join([]string{slot.Name + "/" + slot.Address}) }()
}

// handleMessage handles a message from the mailbox. Malformed messages are dropped.
func (f *Fleet) handleMessage(ctx context.Context, message []byte) {
	if len(message) < 2 || len(message) > maxMessageBytes {
		return
	}
	kind, encoded := message[0], message[1:]
	switch kind {
	case kindPacket:
		f.handlePacket(encoded)
	case kindRequest:
		f.handleRequest(ctx, encoded)
	case kindResponse:
		f.handleResponse(encoded)
	}
}

func (f *Fleet) handlePacket(encoded []byte) {
	var packet member.Packet
	if err := decoding.Unmarshal(encoded, &packet); err != nil {
		f.Log.Info("malformed packet", zap.Error(err))
		return
	}
	f.mu.Lock()
	outgoing := f.member.Receive(f.Now(), packet)
	f.mu.Unlock()
	f.sendPackets(outgoing)
}
