// Package record is what DNS-SD records mean (RFC 6763): names, attributes, which target an instance has, and what a
// list of instances that has changed says. It decides alone: no clock, no I/O.
package record

import (
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
)

const maxLabelLength = 63 // bytes of a label (RFC 1035, 2.3.4)

// SplitInstance takes a full instance name in presentation form apart: the instance's own label, unescaped, and the
// service and domain behind it. Instance labels are UTF-8 of any kind, dots and spaces included (RFC 6763, 4.1.1).
func SplitInstance(full string) (label, behind string, err error) {
	var b strings.Builder
	for i := 0; i < len(full); i++ {
		switch c := full[i]; c {
		case '.':
			if b.Len() == 0 || b.Len() > maxLabelLength {
				return "", "", fmt.Errorf("%q: the first label has %d bytes, not 1 to %d", full, b.Len(), maxLabelLength)
			}
			if !utf8.ValidString(b.String()) {
				return "", "", fmt.Errorf("%q: the first label is not UTF-8", full)
			}
			return b.String(), full[i+1:], nil
		case '\\':
			if i+3 < len(full) && allDigits(full[i+1:i+4]) {
				v := int(full[i+1]-'0')*100 + int(full[i+2]-'0')*10 + int(full[i+3]-'0')
				if v > 255 {
					return "", "", fmt.Errorf("%q: \\%s is no byte", full, full[i+1:i+4])
				}
				b.WriteByte(byte(v))
				i += 3
				continue
			}
			if i+1 == len(full) {
				return "", "", fmt.Errorf("%q ends in an escape", full)
			}
			i++
			b.WriteByte(full[i])
		default:
			b.WriteByte(c)
		}
	}
	return "", "", fmt.Errorf("%q has nothing behind its first label", full)
}

func allDigits(s string) bool {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return true
}

// JoinInstance is the presentation form of an instance's full name.
func JoinInstance(label, behind string) (string, error) {
	if label == "" || len(label) > maxLabelLength || !utf8.ValidString(label) {
		return "", fmt.Errorf("%q is no label: 1 to %d bytes of UTF-8", label, maxLabelLength)
	}
	var b strings.Builder
	for i := range len(label) {
		switch c := label[i]; {
		case strings.IndexByte(`.\"();@$`, c) >= 0:
			b.WriteByte('\\')
			b.WriteByte(c)
		case c <= ' ' || c >= 0x7f:
			fmt.Fprintf(&b, `\%03d`, c)
		default:
			b.WriteByte(c)
		}
	}
	return b.String() + "." + behind, nil
}

// Attributes are the keys of TXT records, in lower case.
type Attributes map[string]Attribute

// Attribute is a key's value. Given tells "key=" from "key", which has none.
type Attribute struct {
	Value    string
	HasValue bool
}

const (
	maxAttributes = 64
	maxKeyLength  = 64 // bytes; nine are recommended
)

// ParseTXT reads the strings of TXT records (RFC 6763, 6.4): keys are printable ASCII without "=", in any case; the
// first of a key wins; strings that begin with "=" are ignored, as empty ones are. Bounded to 64 keys.
func ParseTXT(texts []string) Attributes {
	all := Attributes{}
	for _, text := range texts {
		key, value, given := strings.Cut(text, "=")
		if !validKey(key) {
			continue
		}
		key = strings.ToLower(key)
		if _, told := all[key]; told || len(all) == maxAttributes {
			continue
		}
		all[key] = Attribute{value, given}
	}
	return all
}

func validKey(key string) bool {
	if key == "" || len(key) > maxKeyLength {
		return false
	}
	for i := range len(key) {
		if key[i] < 0x20 || key[i] > 0x7e {
			return false
		}
	}
	return true
}

// Target is what one SRV record names.
type Target struct {
	Priority, Weight, Port uint16
	Host                   string
}

// ErrWithdrawn says that the instance is not offered: its target is the root (RFC 2782).
var ErrWithdrawn = errors.New("the service is decidedly not available here: its SRV record names the root")

// Choose orders SRV records as RFC 2782 has it: the lowest priority first, among equals by weight. draw, from 0 up to
// 1, stands for chance; a caller that hands the same in for the same instance always has the same target.
func Choose(all []Target, draw float64) (Target, error) {
	if len(all) == 0 {
		return Target{}, errors.New("no SRV record")
	}
	if len(all) == 1 && (all[0].Host == "." || all[0].Host == "") {
		return Target{}, ErrWithdrawn
	}
	lowest := all[0].Priority
	for _, t := range all {
		lowest = min(lowest, t.Priority)
	}
	sum := 0
	for _, t := range all {
		if t.Priority == lowest {
			sum += int(t.Weight)
		}
	}
	at := draw * float64(sum)
	var last Target
	for _, t := range all {
		if t.Priority != lowest {
			continue
		}
		last = t
		if at -= float64(t.Weight); at < 0 {
			break
		}
	}
	if last.Port == 0 {
		return Target{}, fmt.Errorf("the SRV record of %s has no port", last.Host)
	}
	return last, nil
}

// draw is the chance of an instance, the same at all nodes.
func draw(instance string) float64 { return float64(xxhash.Sum64String(instance)>>11) / (1 << 53) }
