package push

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/miekg/dns"

	"standpoint/internal/dnssd/record"
)

// IsDSO tells a DSO message from an ordinary one by its opcode.
func IsDSO(raw []byte) bool { return len(raw) >= headerSize && raw[2]>>3&0xf == dns.OpcodeStateful }

// Decode decodes a message. Additional TLVs are skipped (RFC 8490, 5.4.4). After an error the rest of the stream cannot
// be trusted, and the session has to end (RFC 8765, 6.3.2).
func Decode(raw []byte) (m Message, err error) {
	if len(raw) < headerSize {
		return m, ErrShort
	}
	if !IsDSO(raw) || binary.BigEndian.Uint64(raw[4:headerSize]) != 0 {
		return m, ErrNotDSO
	}
	m.ID = binary.BigEndian.Uint16(raw)
	m.Response = raw[2]&responseFlag != 0
	m.Rcode = int(raw[3] & rcodeMask)
	rest := raw[headerSize:]
	for primary := true; len(rest) > 0; primary = false {
		if len(rest) < tlvHeaderSize {
			return m, ErrShort
		}
		kind := Type(binary.BigEndian.Uint16(rest))
		end := tlvHeaderSize + int(binary.BigEndian.Uint16(rest[2:]))
		if len(rest) < end {
			return m, ErrShort
		}
		if primary {
			m.Type = kind
			if err := m.decodeTLV(rest[tlvHeaderSize:end]); err != nil {
				return m, err
			}
		}
		rest = rest[end:]
	}
	return m, nil
}

// decodeTLV decodes the data of the primary TLV, whose type is set. Unknown types are left undecoded.
func (m *Message) decodeTLV(data []byte) error {
	switch m.Type {
	case Keepalive:
		if err := m.requireSize(data, 8); err != nil {
			return err
		}
		m.Inactivity = decodeMillis(data)
		m.Interval = decodeMillis(data[4:])
	case RetryDelay:
		if err := m.requireSize(data, 4); err != nil {
			return err
		}
		m.Delay = decodeMillis(data)
	case Unsubscribe:
		if err := m.requireSize(data, 2); err != nil {
			return err
		}
		m.Subscription = binary.BigEndian.Uint16(data)
	case Subscribe:
		return m.decodeSubscribe(data)
	case Push:
		return m.decodePush(data)
	}
	return nil
}

func (m *Message) requireSize(data []byte, size int) error {
	if len(data) != size {
		return fmt.Errorf("TLV %#x has %d bytes, not %d", uint16(m.Type), len(data), size)
	}
	return nil
}

func decodeMillis(data []byte) time.Duration {
	return time.Duration(binary.BigEndian.Uint32(data)) * time.Millisecond
}

func (m *Message) decodeSubscribe(data []byte) error {
	const kindAndClassSize = 4
	name, end, err := dns.UnpackDomainName(data, 0)
	if err != nil {
		return fmt.Errorf("SUBSCRIBE: %w", err)
	}
	if len(data) != end+kindAndClassSize {
		return fmt.Errorf("SUBSCRIBE: %d bytes behind the name, not 4", len(data)-end)
	}
	m.Name = record.CanonicalName(name)
	m.Kind = record.Kind(binary.BigEndian.Uint16(data[end:]))
	return nil
}

func (m *Message) decodePush(data []byte) error {
	for offset := 0; offset < len(data); {
		if len(m.Changes) == maxChanges {
			return fmt.Errorf("PUSH: more than %d changes", maxChanges)
		}
		change, next, err := decodeChange(data, offset)
		if err != nil {
			return fmt.Errorf("PUSH: %w", err)
		}
		if change.Record.Name != "" {
			m.Changes = append(m.Changes, change)
		}
		offset = next
	}
	return nil
}

// decodeChange decodes the record at offset; next is the offset behind it. The record's name is "" if its kind is not
// read here.
func decodeChange(data []byte, offset int) (change Change, next int, err error) {
	const fixedSize = 10 // kind, class, TTL and the data's size
	name, fixed, err := dns.UnpackDomainName(data, offset)
	if err != nil {
		return change, 0, err
	}
	if len(data) < fixed+fixedSize {
		return change, 0, ErrShort
	}
	kind := binary.BigEndian.Uint16(data[fixed:])
	ttl := binary.BigEndian.Uint32(data[fixed+4:])
	next = fixed + fixedSize + int(binary.BigEndian.Uint16(data[fixed+8:]))
	if next > len(data) {
		return change, 0, ErrShort
	}
	if ttl == removeAll {
		return collectiveRemoval(name, kind), next, nil
	}
	rr, end, err := dns.UnpackRR(data[:next], offset)
	if err != nil {
		return change, 0, err
	}
	if end != next {
		return change, 0, fmt.Errorf("%s: its data ends early", name)
	}
	decoded, ok := record.Decode(rr)
	if !ok {
		return Change{}, next, nil
	}
	return Change{Remove: ttl == removeOne, Record: decoded}, next, nil
}

// collectiveRemoval removes all records of a name, of one kind or with ANY of all (RFC 8765, 6.3.1).
func collectiveRemoval(name string, kind uint16) Change {
	removed := record.Record{Name: record.CanonicalName(name)}
	if kind != dns.TypeANY {
		removed.Kind = record.Kind(kind)
	}
	return Change{Remove: true, All: true, Record: removed}
}
