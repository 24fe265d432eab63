package standpoint

// The messages of the load directory.

import (
	"encoding/base64"
	"encoding/binary"
	"math"
)

// directoryKind is the first byte of a message of the directory.
type directoryKind byte

const (
	directoryAsk    directoryKind = 'q' // what of this engine?
	directoryAnswer directoryKind = 'a'
	directorySent   directoryKind = 's' // a prompt goes to this engine
	directoryRead   directoryKind = 'r' // it has been read
	directoryOver   directoryKind = 'o' // it ended, and may not have been read
)

// directoryMessage is what goes between gateways. Which of its fields mean something hangs on its kind.
type directoryMessage struct {
	kind    directoryKind
	id      uint32     // of the request, to its gateway
	engine  uint32     // a part of the engine's hash
	session uint32     // a hash of the session; 0: none
	prefix  uint32     // and of the shared beginning
	tokens  float64    // sent: not kept; answer: kept
	prompt  float64    // sent: of the whole prompt
	shared  float64    // sent: of its shared beginning
	load    engineLoad // answer
}

// lengths are the bytes of a message behind its kind.
var lengths = map[directoryKind]int{
	directoryAsk: 16, directoryAnswer: 16, directorySent: 22, directoryRead: 8, directoryOver: 8,
}

const (
	tokenUnit   = 16   // tokens in a message's lengths
	waitUnit    = 1e-3 // seconds in its waits
	speedUnit   = 10   // tokens a second in its speeds
	readingUnit = 1e-3 // in its parts
)

func short(v, unit float64) uint16 { return uint16(min(math.MaxUint16, max(0, math.Round(v/unit)))) }

func (m *directoryMessage) encode() string {
	b := binary.BigEndian.AppendUint32([]byte{byte(m.kind)}, m.id)
	b = binary.BigEndian.AppendUint32(b, m.engine)
	switch m.kind {
	case directoryAsk:
		b = binary.BigEndian.AppendUint32(b, m.session)
		b = binary.BigEndian.AppendUint32(b, m.prefix)
	case directoryAnswer:
		b = binary.BigEndian.AppendUint16(b, short(m.load.wait, waitUnit))
		b = binary.BigEndian.AppendUint16(b, short(m.tokens, tokenUnit))
		b = binary.BigEndian.AppendUint16(b, short(m.load.reading, readingUnit))
		b = binary.BigEndian.AppendUint16(b, short(m.load.speed, speedUnit))
	case directorySent:
		b = binary.BigEndian.AppendUint32(b, m.session)
		b = binary.BigEndian.AppendUint32(b, m.prefix)
		b = binary.BigEndian.AppendUint16(b, short(m.tokens, tokenUnit))
		b = binary.BigEndian.AppendUint16(b, short(m.prompt, tokenUnit))
		b = binary.BigEndian.AppendUint16(b, short(m.shared, tokenUnit))
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

// decodeDirectory reads a message; false: it is none.
func decodeDirectory(data string) (m directoryMessage, ok bool) {
	b, err := base64.RawStdEncoding.DecodeString(data)
	if err != nil || len(b) == 0 {
		return m, false
	}
	m.kind = directoryKind(b[0])
	b = b[1:]
	if want, known := lengths[m.kind]; !known || len(b) != want {
		return m, false
	}
	long := func() uint32 {
		v := binary.BigEndian.Uint32(b)
		b = b[4:]
		return v
	}
	part := func(unit float64) float64 {
		v := float64(binary.BigEndian.Uint16(b)) * unit
		b = b[2:]
		return v
	}
	m.id, m.engine = long(), long()
	switch m.kind {
	case directoryAsk:
		m.session, m.prefix = long(), long()
	case directoryAnswer:
		m.load.wait, m.tokens = part(waitUnit), part(tokenUnit)
		m.load.reading, m.load.speed = part(readingUnit), part(speedUnit)
	case directorySent:
		m.session, m.prefix = long(), long()
		m.tokens, m.prompt, m.shared = part(tokenUnit), part(tokenUnit), part(tokenUnit)
	}
	return m, true
}
