package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"standpoint/internal/fleet/member"
)

// rejoinInterval is how often slots are looked for that the member list lacks.
const rejoinInterval = time.Second

// Kinds of messages between nodes: the first byte of each. CBOR follows.
const (
	kindPacket = iota + 1
	kindRequest
	kindResponse
)

const maxMessageBytes = 64 << 10

// decoding is bounded: what comes from the network takes no more memory than a message may hold.
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
		panic(err) // the options are constants of this program
	}
	return mode
}

// tick sends this node's packets, and gives the decision module the advice that follows from those of others.
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

// updateSiteConnectivity moves on the state of a site. f.mu is held.
func (f *Fleet) updateSiteConnectivity() {
	if f.siteConnectivity == nil {
		return
	}
	dataMissing := f.LedgerBehind != nil && f.LedgerBehind()
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
		_ = f.memberlist.SendBestEffort(f.memberNode(o.To), frame(kindPacket, encoded)) // a packet may be lost
	}
}

// frame puts the kind of a message before it.
func frame(kind byte, encoded []byte) []byte { return append([]byte{kind}, encoded...) }

// rejoin looks for a slot that the member list lacks: after a partition the library's two sides do not look for
// each other.
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
	// Not waited for, since it may take as long as a dial; it fails where the node is down.
	go func() { _, _ = f.memberlist.Join([]string{slot.Name + "/" + slot.Address}) }()
}

// handleMessage handles a message from the mailbox. Those that are malformed are dropped.
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
