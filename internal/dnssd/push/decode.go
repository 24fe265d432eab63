package push

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/miekg/dns"

	"standpoint/internal/dnssd/record"
)

// IsDSO reports whether a DNS message is a DSO message, by its opcode.
func IsDSO(raw []byte) bool { return len(raw) >= headerSize && raw[2]>>3&0xf == dns.OpcodeStateful }

// Decode decodes a message. Additional TLVs are skipped (RFC 8490, 5.4.4). After an error the rest of the stream cannot
// be trusted, and the session must be ended (RFC 8765, 6.3.2).
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

// decodeTLV decodes the data of the primary TLV, whose type is m.Type. The data of unknown types is ignored.
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

// requireSize returns an error if the data of the primary TLV does not have the given size in bytes.
func (m *Message) requireSize(data []byte, size int) error {
	if len(data) != size {
		return fmt.Errorf("TLV of type %#x has %d bytes, not %d", uint16(m.Type), len(data), size)
	}
	return nil
}

// decodeMillis decodes a duration in milliseconds from the first four bytes of data.
func decodeMillis(data []byte) time.Duration {
	return time.Duration(binary.BigEndian.Uint32(data)) * time.Millisecond
}

// decodeSubscribe decodes the data of a SUBSCRIBE TLV.
func (m *Message) decodeSubscribe(data []byte) error {
	const kindAndClassSize = 4
	name, end, err := dns.UnpackDomainName(data, 0)
	if err != nil {
		return fmt.Errorf("SUBSCRIBE: %w", err)
	}
	if len(data) != end+kindAndClassSize {
		return fmt.Errorf("SUBSCRIBE: %d bytes after the name, not 4", len(data)-end)
	}
	m.Name = record.CanonicalName(name)
	m.Kind = record.Kind(binary.BigEndian.Uint16(data[end:]))
	return nil
}

// decodePush decodes the data of a PUSH TLV. Records of unsupported kinds are skipped.
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

// decodeChange decodes the record at offset; next is the offset of the following one. The name of the returned record
// is "" if its kind is not supported.
func decodeChange(data []byte, offset int) (change Change, next int, err error) {
	const fixedSize = 10 // bytes of type, class, TTL and data length
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
	if ttl == removeCollectionTTL {
		return collectiveRemoval(name, kind), next, nil
	}
	rr, end, err := dns.UnpackRR(data[:next], offset)
	if err != nil {
		return change, 0, err
	}
	if end != next {
		return change, 0, fmt.Errorf("%s: record data is shorter than its length field", name)
	}
	decoded, ok := record.Decode(rr)
	if !ok {
		return Change{}, next, nil
	}
	return Change{Remove: ttl == removeRecordTTL, Record: decoded}, next, nil
}

// collectiveRemoval returns the removal of all records at a name, of one type or with ANY of all types (RFC 8765,
// 6.3.1).
func collectiveRemoval(name string, kind uint16) Change {
	removed := record.Record{Name: record.CanonicalName(name)}
	if kind != dns.TypeANY {
		removed.Kind = record.Kind(kind)
	}
	return Change{Remove: true, All: true, Record: removed}
}
