// Package push encodes and decodes the messages of DNS Stateful Operations (RFC 8490) and DNS Push Notifications (RFC
// 8765). It has no clock and does no I/O.
package push

import (
	"errors"
	"time"

	"standpoint/internal/dnssd/record"
)

// Type is a TLV's.
type Type uint16

// The types that are supported (RFC 8490, 10.3, and RFC 8765, 8.2).
const (
	Keepalive   Type = 0x0001
	RetryDelay  Type = 0x0002
	Padding     Type = 0x0003
	Subscribe   Type = 0x0040
	Push        Type = 0x0041
	Unsubscribe Type = 0x0042
	Reconfirm   Type = 0x0043
)

// Change is a change in a PUSH message: a record that was added or, with Remove, removed.
type Change struct {
	Remove bool
	// All has everything at the name removed: of Record.Kind, or of all kinds where that is 0.
	All    bool
	Record record.Record
}

// Message is one DSO message. Which fields are set depends on the primary TLV's type.
type Message struct {
	ID       uint16 // 0: unidirectional
	Response bool
	Rcode    int
	Type     Type // of the primary TLV; 0: none, as in most responses

	// Inactivity and Interval are a Keepalive's: the client closes the session after Inactivity without
	// subscriptions, and sends a message at least once in each Interval.
	Inactivity time.Duration
	Interval   time.Duration

	Delay        time.Duration // RetryDelay
	Name         string        // Subscribe
	Kind         record.Kind   // Subscribe
	Subscription uint16        // Unsubscribe: the SUBSCRIBE's id
	Changes      []Change      // Push
}

// The layout of messages (RFC 8490, 5.4, and RFC 8765, 6.3.1).
const (
	headerSize    = 12
	tlvHeaderSize = 4
	responseFlag  = 0x80 // of the header's third byte
	rcodeMask     = 0xf  // of its fourth
	// removeOne and removeAll are the TTLs in PUSH messages that remove one record, or all of a name.
	removeOne = 0xffffffff
	removeAll = 0xfffffffe
	// infiniteTime is the time in Keepalive TLVs that never ends.
	infiniteTime = 0xffffffff
	// maxChanges bounds one PUSH message.
	maxChanges = 4096
)

// Errors of Decode.
var (
	ErrShort  = errors.New("the message ends early")
	ErrNotDSO = errors.New("no DSO message: another opcode, or counts that are not 0")
)
