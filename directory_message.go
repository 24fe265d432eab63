package standpoint

// The wire format of the load directory's messages: a kind byte, then big-endian fields, encoded in base64.

import (
	"encoding/base64"
	"encoding/binary"
	"math"
)

// directoryMessageKind says what a directory message is about. It is the message's first byte.
type directoryMessageKind byte

const (
	// directoryQuery queries an engine's load, and the cached tokens of a session and a shared prefix.
	directoryQuery directoryMessageKind = 'q'
	// directoryAnswer answers a directoryQuery.
	directoryAnswer directoryMessageKind = 'a'
	// directoryPromptSent says that a prompt is sent to an engine.
	directoryPromptSent directoryMessageKind = 's'
	// directoryPrefillDone says that an engine has prefilled a prompt.
	directoryPrefillDone directoryMessageKind = 'r'
	// directoryPrefillAborted says that an attempt ended, and that its prompt may not have been prefilled.
	directoryPrefillAborted directoryMessageKind = 'o'
)

// directoryMessage is a message between gateways. Its kind determines which of its fields are used.
type directoryMessage struct {
	kind         directoryMessageKind
	requestID    uint32     // low 32 bits of the request's ID at the gateway that sends the prompt
	engineHash   uint32     // low 32 bits of the engine's hash
	sessionHash  uint32     // hash of the session; 0: none
	prefixHash   uint32     // hash of the shared prefix; 0: none
	tokens       float64    // directoryPromptSent: uncached tokens; directoryAnswer: cached tokens
	promptTokens float64    // directoryPromptSent: tokens of the whole prompt
	prefixTokens float64    // directoryPromptSent: tokens of the shared prefix
	load         engineLoad // directoryAnswer: the engine's load
}

// payloadLengths are the lengths in bytes of what follows the kind byte of a message, by its kind.
var payloadLengths = map[directoryMessageKind]int{
	directoryQuery:          16,
	directoryAnswer:         16,
	directoryPromptSent:     22,
	directoryPrefillDone:    8,
	directoryPrefillAborted: 8,
}

// The units of the 16-bit quantities of a message.
const (
	tokensUnit   = 16   // tokens
	delayUnit    = 1e-3 // seconds
	speedUnit    = 10   // tokens per second
	fractionUnit = 1e-3 // of the whole
)

// quantize returns v as a multiple of the unit, rounded and bounded to 16 bits.
func quantize(v, unit float64) uint16 { return uint16(min(math.MaxUint16, max(0, math.Round(v/unit)))) }

// encode returns the message as text.
func (m *directoryMessage) encode() string {
	b := binary.BigEndian.AppendUint32([]byte{byte(m.kind)}, m.requestID)
	b = binary.BigEndian.AppendUint32(b, m.engineHash)
	switch m.kind {
	case directoryQuery:
		b = binary.BigEndian.AppendUint32(b, m.sessionHash)
		b = binary.BigEndian.AppendUint32(b, m.prefixHash)
	case directoryAnswer:
		b = binary.BigEndian.AppendUint16(b, quantize(m.load.prefillDelay, delayUnit))
		b = binary.BigEndian.AppendUint16(b, quantize(m.tokens, tokensUnit))
		b = binary.BigEndian.AppendUint16(b, quantize(m.load.prefillFraction, fractionUnit))
		b = binary.BigEndian.AppendUint16(b, quantize(m.load.prefillSpeed, speedUnit))
	case directoryPromptSent:
		b = binary.BigEndian.AppendUint32(b, m.sessionHash)
		b = binary.BigEndian.AppendUint32(b, m.prefixHash)
		b = binary.BigEndian.AppendUint16(b, quantize(m.tokens, tokensUnit))
		b = binary.BigEndian.AppendUint16(b, quantize(m.promptTokens, tokensUnit))
		b = binary.BigEndian.AppendUint16(b, quantize(m.prefixTokens, tokensUnit))
	}
	return base64.RawStdEncoding.EncodeToString(b)
}

// decodeDirectoryMessage parses a message, and reports whether it is well-formed.
func decodeDirectoryMessage(data string) (m directoryMessage, ok bool) {
	b, err := base64.RawStdEncoding.DecodeString(data)
	if err != nil || len(b) == 0 {
		return m, false
	}
	m.kind = directoryMessageKind(b[0])
	b = b[1:]
	if want, known := payloadLengths[m.kind]; !known || len(b) != want {
		return m, false
	}
	readUint32 := func() uint32 {
		v := binary.BigEndian.Uint32(b)
		b = b[4:]
		return v
	}
	readQuantity := func(unit float64) float64 {
		v := float64(binary.BigEndian.Uint16(b)) * unit
		b = b[2:]
		return v
	}
	m.requestID, m.engineHash = readUint32(), readUint32()
	switch m.kind {
	case directoryQuery:
		m.sessionHash, m.prefixHash = readUint32(), readUint32()
	case directoryAnswer:
		m.load.prefillDelay, m.tokens = readQuantity(delayUnit), readQuantity(tokensUnit)
		m.load.prefillFraction, m.load.prefillSpeed = readQuantity(fractionUnit), readQuantity(speedUnit)
	case directoryPromptSent:
		m.sessionHash, m.prefixHash = readUint32(), readUint32()
		m.tokens, m.promptTokens, m.prefixTokens =
			readQuantity(tokensUnit), readQuantity(tokensUnit), readQuantity(tokensUnit)
	}
	return m, true
}
