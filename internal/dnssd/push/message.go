// Package push encodes and decodes the messages of DNS Stateful Operations (RFC 8490) and DNS Push Notifications (RFC
// 8765). It has no clock and does no I/O.
package push

import (
	"errors"
	"time"

	"standpoint/internal/dnssd/record"
)

// Type is the type of a TLV.
type Type uint16

// The TLV types of RFC 8490, 10.3, and RFC 8765, 8.2. Decode decodes the data of all but Padding and Reconfirm.
const (
	Keepalive   Type = 0x0001
	RetryDelay  Type = 0x0002
	Padding     Type = 0x0003
	Subscribe   Type = 0x0040
	Push        Type = 0x0041
	Unsubscribe Type = 0x0042
	Reconfirm   Type = 0x0043
)

// Change is a change in a PUSH message: a record that was added or, if Remove is set, removed.
type Change struct {
	Remove bool
	// All reports a collective removal: all records at the name with the kind Record.Kind are removed, or those of all
	// kinds if Record.Kind is 0.
	All    bool
	Record record.Record
}

// Message is one DSO message. Which fields are set depends on the type of the primary TLV.
type Message struct {
	ID       uint16 // message id; 0 for unidirectional messages
	Response bool   // whether the message is a response
	Rcode    int    // response code
	Type     Type   // type of the primary TLV; 0 if there is none, as in most responses

	// Inactivity and Interval are set for Keepalive: the client closes the session after the time Inactivity without
	// subscriptions, and sends a message at least once per Interval.
	Inactivity time.Duration
	Interval   time.Duration

	Delay        time.Duration // RetryDelay: time for which the client must not connect
	Name         string        // Subscribe: canonical name
	Kind         record.Kind   // Subscribe: type of records, possibly ANY
	Subscription uint16        // Unsubscribe: message id of the SUBSCRIBE request
	Changes      []Change      // Push: changes of records
}

// The layout of messages (RFC 8490, 5.4, and RFC 8765, 6.3.1), with sizes in bytes.
const (
	headerSize    = 12
	tlvHeaderSize = 4
	responseFlag  = 0x80 // response bit in the third byte of the header
	rcodeMask     = 0xf  // bits of the response code in the fourth byte of the header
	// removeRecordTTL is the TTL that marks the removal of one record in a PUSH message.
	removeRecordTTL = 0xffffffff
	// removeCollectionTTL is the TTL that marks a collective removal at a name in a PUSH message.
	removeCollectionTTL = 0xfffffffe
	// infiniteTimeout is the value of an infinite timeout in Keepalive TLVs.
	infiniteTimeout = 0xffffffff
	// maxChanges is the maximum number of changes in one PUSH message.
	maxChanges = 4096
)

// Errors that Decode returns.
var (
	// ErrShort reports that a message is truncated.
	ErrShort = errors.New("truncated DSO message")
	// ErrNotDSO reports that a message is not a DSO message.
	ErrNotDSO = errors.New("not a DSO message: wrong opcode or non-zero record counts")
)
