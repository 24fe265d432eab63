// Package push reads and writes the messages of DNS Stateful Operations (RFC 8490) and DNS Push Notifications (RFC
// 8765). It has no I/O and no clock: Frame and the functions beside it turn bytes into typed messages and back.
package push

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/miekg/dns"

	"standpoint/internal/dnssd/record"
)

// Type of a TLV.
type Type uint16

// Types that are spoken here (RFC 8490, 10.3, and RFC 8765, 8.2).
const (
	Keepalive   Type = 0x0001
	RetryDelay  Type = 0x0002
	Padding     Type = 0x0003
	Subscribe   Type = 0x0040
	Push        Type = 0x0041
	Unsubscribe Type = 0x0042
	Reconfirm   Type = 0x0043
)

// Change of one record or more in a PUSH message. TTLs of 0xffffffff and 0xfffffffe take away (RFC 8765, 6.3.1).
type Change struct {
	Remove bool
	// All says that everything at the name goes: of Record.Kind, or of all kinds where that is 0.
	All    bool
	Record record.Record
}

// Message is one DSO message. Which fields are set depends on the primary TLV's type.
type Message struct {
	ID       uint16 // 0: unidirectional
	Response bool
	Rcode    int
	Type     Type // of the primary TLV; 0: none, as in most responses

	Inactivity, Interval time.Duration // Keepalive: the client closes after the first, and speaks each second
	Delay                time.Duration // RetryDelay
	Name                 string        // Subscribe
	Kind                 record.Kind   // Subscribe
	Subscription         uint16        // Unsubscribe: the SUBSCRIBE's id
	Changes              []Change      // Push
}

const (
	headerSize   = 12
	removeOne    = 0xffffffff
	removeAll    = 0xfffffffe
	infiniteTime = 0xffffffff // of Keepalive's times
	maxChanges   = 4096       // in a message
)

// Errors of Decode.
var (
	ErrShort  = errors.New("the message ends early")
	ErrNotDSO = errors.New("no DSO message: another opcode, or counts that are not 0")
)

// IsDSO tells a DSO message from an ordinary one by its opcode.
func IsDSO(raw []byte) bool { return len(raw) >= headerSize && raw[2]>>3&0xf == dns.OpcodeStateful }

// Decode reads a message. Additional TLVs are passed over (RFC 8490, 5.4.4). A record that cannot be read is an error,
// as the rest of the message cannot then be trusted; the session has to end (RFC 8765, 6.3.2).
func Decode(raw []byte) (m Message, err error) {
	if len(raw) < headerSize {
		return m, ErrShort
	}
	if !IsDSO(raw) || binary.BigEndian.Uint64(raw[4:12]) != 0 {
		return m, ErrNotDSO
	}
	m.ID, m.Response, m.Rcode = binary.BigEndian.Uint16(raw), raw[2]&0x80 != 0, int(raw[3]&0xf)
	rest := raw[headerSize:]
	for first := true; len(rest) > 0; first = false {
		if len(rest) < 4 {
			return m, ErrShort
		}
		kind, size := Type(binary.BigEndian.Uint16(rest)), int(binary.BigEndian.Uint16(rest[2:]))
		if len(rest) < 4+size {
			return m, ErrShort
		}
		data := rest[4 : 4+size]
		rest = rest[4+size:]
		if !first {
			continue
		}
		m.Type = kind
		if err := m.decodeTLV(data); err != nil {
			return m, err
		}
	}
	return m, nil
}

func (m *Message) decodeTLV(data []byte) error {
	want := func(n int) error {
		if len(data) != n {
			return fmt.Errorf("TLV %#x has %d bytes, not %d", uint16(m.Type), len(data), n)
		}
		return nil
	}
	span := func(at int) time.Duration {
		return time.Duration(binary.BigEndian.Uint32(data[at:])) * time.Millisecond
	}
	switch m.Type {
	case Keepalive:
		if err := want(8); err != nil {
			return err
		}
		m.Inactivity, m.Interval = span(0), span(4)
	case RetryDelay:
		if err := want(4); err != nil {
			return err
		}
		m.Delay = span(0)
	case Unsubscribe:
		if err := want(2); err != nil {
			return err
		}
		m.Subscription = binary.BigEndian.Uint16(data)
	case Subscribe:
		name, at, err := dns.UnpackDomainName(data, 0)
		if err != nil {
			return fmt.Errorf("SUBSCRIBE: %w", err)
		}
		if len(data) != at+4 {
			return fmt.Errorf("SUBSCRIBE: %d bytes behind the name, not 4", len(data)-at)
		}
		m.Name, m.Kind = record.CanonicalName(name), record.Kind(binary.BigEndian.Uint16(data[at:]))
	case Push:
		for at := 0; at < len(data); {
			if len(m.Changes) == maxChanges {
				return fmt.Errorf("PUSH: more than %d changes", maxChanges)
			}
			c, next, err := readChange(data, at)
			if err != nil {
				return fmt.Errorf("PUSH: %w", err)
			}
			if at = next; c.Record.Name != "" {
				m.Changes = append(m.Changes, c)
			}
		}
	}
	return nil
}

// readChange reads one record; its Name is "" where it is of a kind that means nothing here.
func readChange(data []byte, at int) (c Change, next int, err error) {
	name, head, err := dns.UnpackDomainName(data, at)
	if err != nil {
		return c, 0, err
	}
	if len(data) < head+10 {
		return c, 0, ErrShort
	}
	kind, ttl := binary.BigEndian.Uint16(data[head:]), binary.BigEndian.Uint32(data[head+4:])
	next = head + 10 + int(binary.BigEndian.Uint16(data[head+8:]))
	if next > len(data) {
		return c, 0, ErrShort
	}
	switch ttl {
	case removeAll:
		c = Change{Remove: true, All: true, Record: record.Record{Name: record.CanonicalName(name)}}
		if kind != dns.TypeANY {
			c.Record.Kind = record.Kind(kind)
		}
		return c, next, nil
	case removeOne:
		c.Remove = true
	}
	rr, end, err := dns.UnpackRR(data[:next], at)
	if err != nil {
		return c, 0, err
	}
	if end != next {
		return c, 0, fmt.Errorf("%s: its data ends early", name)
	}
	var ok bool
	if c.Record, ok = record.Decode(rr); !ok {
		return Change{}, next, nil
	}
	return c, next, nil
}

// newHeader is an empty message.
func newHeader(id uint16, response bool, rcode int) []byte {
	raw := make([]byte, headerSize, 64)
	binary.BigEndian.PutUint16(raw, id)
	raw[2] = dns.OpcodeStateful << 3
	if response {
		raw[2] |= 0x80
	}
	raw[3] = byte(rcode & 0xf)
	return raw
}

func appendTLV(raw []byte, kind Type, data []byte) []byte {
	raw = binary.BigEndian.AppendUint16(raw, uint16(kind))
	raw = binary.BigEndian.AppendUint16(raw, uint16(len(data)))
	return append(raw, data...)
}

// Response answers a request, without a TLV.
func Response(id uint16, rcode int) []byte { return newHeader(id, true, rcode) }

func encodeMillis(d time.Duration) uint32 {
	if d < 0 || d.Milliseconds() >= infiniteTime {
		return infiniteTime
	}
	return uint32(d.Milliseconds())
}

// KeepaliveMessage is a request with an id, a response to one, or with id 0 a server's word alone.
func KeepaliveMessage(id uint16, response bool, inactivity, interval time.Duration) []byte {
	data := binary.BigEndian.AppendUint32(nil, encodeMillis(inactivity))
	return appendTLV(newHeader(id, response, 0), Keepalive, binary.BigEndian.AppendUint32(data, encodeMillis(interval)))
}

// RetryDelayMessage tells a client to go away for a while.
func RetryDelayMessage(rcode int, delay time.Duration) []byte {
	return appendTLV(newHeader(0, false, rcode), RetryDelay, binary.BigEndian.AppendUint32(nil, encodeMillis(delay)))
}

// SubscribeMessage asks for all changes of a name's records of one kind, or of all with dns.TypeANY.
func SubscribeMessage(id uint16, name string, kind uint16) ([]byte, error) {
	data := make([]byte, 260)
	n, err := dns.PackDomainName(dns.Fqdn(name), data, 0, nil, false)
	if err != nil {
		return nil, err
	}
	data = binary.BigEndian.AppendUint16(data[:n], kind)
	return appendTLV(newHeader(id, false, 0), Subscribe, binary.BigEndian.AppendUint16(data, dns.ClassINET)), nil
}

// UnsubscribeMessage ends a subscription.
func UnsubscribeMessage(subscription uint16) []byte {
	return appendTLV(newHeader(0, false, 0), Unsubscribe, binary.BigEndian.AppendUint16(nil, subscription))
}

// PushedRecord is a record of a PUSH message: added, or taken away.
type PushedRecord struct {
	RR     dns.RR
	Remove bool
}

const maxPushSize = 16_000 // bytes of a TLV that is filled further

// PushMessages tells changes, in as many messages as are needed. Names are not compressed (RFC 8765, 6.3.1).
func PushMessages(all []PushedRecord) ([][]byte, error) {
	var messages [][]byte
	var data []byte
	buffer := make([]byte, 70_000)
	for _, p := range all {
		rr := dns.Copy(p.RR)
		if p.Remove {
			rr.Header().Ttl = removeOne
		}
		n, err := dns.PackRR(rr, buffer, 0, nil, false)
		if err != nil {
			return nil, err
		}
		if len(data)+n > maxPushSize && len(data) > 0 {
			messages, data = append(messages, appendTLV(newHeader(0, false, 0), Push, data)), nil
		}
		data = append(data, buffer[:n]...)
	}
	if len(data) > 0 {
		messages = append(messages, appendTLV(newHeader(0, false, 0), Push, data))
	}
	return messages, nil
}
