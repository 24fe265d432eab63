package wire

import (
	"bytes"
	"encoding/json"
	"strconv"

	"standpoint"
)

// AppendAction appends to b the line of an action of a node, with its newline.
func AppendAction(b []byte, node int, a standpoint.Action) []byte {
	switch a.Kind {
	case standpoint.Send:
		b = appendVerb(b, "send", node)
		b = appendNumber(b, "handle", a.Request)
		if a.Deadline > 0 {
			b = appendNumber(b, "tryUntil", a.Deadline)
		}
		b = appendText(b, "engine", a.Engine)
	case standpoint.Cancel:
		b = appendVerb(b, "undoSend", node)
		b = appendNumber(b, "handle", a.Request)
		b = appendNumber(b, "leg", int64(a.Attempt))
	case standpoint.Shed:
		b = appendVerb(b, "shed", node)
		b = appendNumber(b, "handle", a.Request)
		if a.Wait > 0 {
			b = appendNumber(b, "holdOff", a.Wait)
		}
	case standpoint.Fail:
		b = appendVerb(b, "endFailed", node)
		b = appendNumber(b, "handle", a.Request)
	case standpoint.Timer:
		b = appendVerb(b, "setTimer", node)
		b = appendNumber(b, "wait", a.Wait)
		b = appendNumber(b, "ctx", a.Token)
	case standpoint.Probe:
		b = appendVerb(b, "test", node)
		b = appendText(b, "engine", a.Engine)
	case standpoint.Subscribe:
		b = appendVerb(b, "listen", node)
		b = append(b, `,"active":true`...)
	case standpoint.SendPeer:
		b = appendVerb(b, "writePeer", node)
		b = appendNumber(b, "target", int64(a.Peer))
		b = appendText(b, "data", a.Data)
	}
	return append(b, '}', '\n')
}

// appendVerb begins a line with the verb and the node. The JSON object stays open.
func appendVerb(b []byte, verb string, node int) []byte {
	b = append(b, `{"verb":"`...)
	b = append(b, verb...)
	b = append(b, `","node":`...)
	return strconv.AppendInt(b, int64(node), 10)
}

func appendNumber(b []byte, key string, value int64) []byte {
	return strconv.AppendInt(appendKey(b, key), value, 10)
}

func appendText(b []byte, key, value string) []byte {
	return appendString(appendKey(b, key), value)
}

func appendKey(b []byte, key string) []byte {
	b = append(b, `,"`...)
	b = append(b, key...)
	return append(b, `":`...)
}

func appendString(b []byte, s string) []byte {
	quoted, err := json.Marshal(s)
	if err != nil { // cannot happen for a string; the line stays well formed nevertheless
		return append(b, `""`...)
	}
	return append(b, bytes.TrimSpace(quoted)...)
}

// AppendOK appends to b the line that ends a reply.
func AppendOK(b []byte) []byte { return append(b, "{\"verb\":\"ok\"}\n"...) }
