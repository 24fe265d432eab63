package push

import (
	"encoding/binary"
	"time"

	"github.com/miekg/dns"
)

const (
	// maxPushSize is the size in bytes beyond which no further record is added to a PUSH message.
	maxPushSize = 16_000
	// recordBufferSize holds any record, whose data and name are at most 65,535 and 255 bytes.
	recordBufferSize = 70_000
	// nameAndTypeSize holds a name in wire form, and the kind and class behind it.
	nameAndTypeSize = 260
)

// newHeader makes a message without TLVs.
func newHeader(id uint16, response bool, rcode int) []byte {
	raw := make([]byte, headerSize, 64)
	binary.BigEndian.PutUint16(raw, id)
	raw[2] = dns.OpcodeStateful << 3
	if response {
		raw[2] |= responseFlag
	}
	raw[3] = byte(rcode & rcodeMask)
	return raw
}

// appendTLV appends one TLV to a message.
func appendTLV(raw []byte, kind Type, data []byte) []byte {
	raw = binary.BigEndian.AppendUint16(raw, uint16(kind))
	raw = binary.BigEndian.AppendUint16(raw, uint16(len(data)))
	return append(raw, data...)
}

// Response encodes a response without TLVs.
func Response(id uint16, rcode int) []byte { return newHeader(id, true, rcode) }

// encodeMillis encodes a time in milliseconds; a negative or too long one is infinite.
func encodeMillis(d time.Duration) uint32 {
	if d < 0 || d.Milliseconds() >= infiniteTime {
		return infiniteTime
	}
	return uint32(d.Milliseconds())
}

// KeepaliveMessage encodes a keep-alive: a request or the response to one, or with id 0 a unidirectional message.
func KeepaliveMessage(id uint16, response bool, inactivity, interval time.Duration) []byte {
	data := binary.BigEndian.AppendUint32(nil, encodeMillis(inactivity))
	return appendTLV(newHeader(id, response, 0), Keepalive, binary.BigEndian.AppendUint32(data, encodeMillis(interval)))
}

// RetryDelayMessage encodes the request to a client to end its session, and not to connect again before delay.
func RetryDelayMessage(rcode int, delay time.Duration) []byte {
	return appendTLV(newHeader(0, false, rcode), RetryDelay, binary.BigEndian.AppendUint32(nil, encodeMillis(delay)))
}

// SubscribeMessage encodes the subscription to the changes of a name's records of one kind, or of all with
// dns.TypeANY. It fails for a name that has no wire form.
func SubscribeMessage(id uint16, name string, kind uint16) ([]byte, error) {
	data := make([]byte, nameAndTypeSize)
	n, err := dns.PackDomainName(dns.Fqdn(name), data, 0, nil, false)
	if err != nil {
		return nil, err
	}
	data = binary.BigEndian.AppendUint16(data[:n], kind)
	return appendTLV(newHeader(id, false, 0), Subscribe, binary.BigEndian.AppendUint16(data, dns.ClassINET)), nil
}

// UnsubscribeMessage encodes the end of a subscription, which is named by the id of its SUBSCRIBE request.
func UnsubscribeMessage(subscription uint16) []byte {
	return appendTLV(newHeader(0, false, 0), Unsubscribe, binary.BigEndian.AppendUint16(nil, subscription))
}

// OutgoingChange is a record of a PUSH message: added or, with Remove, removed.
type OutgoingChange struct {
	RR     dns.RR
	Remove bool
}

// ChangeMessages encodes changes in as many messages as are needed. Names are not compressed (RFC 8765, 6.3.1).
func ChangeMessages(changes []OutgoingChange) ([][]byte, error) {
	var messages [][]byte
	var data []byte
	buffer := make([]byte, recordBufferSize)
	for _, change := range changes {
		rr := dns.Copy(change.RR)
		if change.Remove {
			rr.Header().Ttl = removeOne
		}
		size, err := dns.PackRR(rr, buffer, 0, nil, false)
		if err != nil {
			return nil, err
		}
		if len(data)+size > maxPushSize && len(data) > 0 {
			messages = append(messages, pushMessage(data))
			data = nil
		}
		data = append(data, buffer[:size]...)
	}
	if len(data) > 0 {
		messages = append(messages, pushMessage(data))
	}
	return messages, nil
}

func pushMessage(data []byte) []byte { return appendTLV(newHeader(0, false, 0), Push, data) }
