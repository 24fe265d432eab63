// Package record decides what DNS-SD records mean (RFC 6763): names, attributes, which target an instance has, what
// is known of a domain, and whether a list of instances that has changed is to be believed. It has no clock and does
// no I/O.
package record

import (
	"fmt"
	"math"
	"strings"
	"unicode/utf8"
)

// maxLabelLength is in bytes (RFC 1035, 2.3.4).
const maxLabelLength = 63

// SplitInstance splits a full instance name in presentation form into the instance's own label, unescaped, and the
// rest: service and domain. Labels of instances are UTF-8 of any kind, dots and spaces included (RFC 6763, 4.1.1).
func SplitInstance(full string) (label, rest string, err error) {
	var unescaped strings.Builder
	for i := 0; i < len(full); {
		switch full[i] {
		case '.':
			label = unescaped.String()
			if label == "" || len(label) > maxLabelLength {
				return "", "", fmt.Errorf(
					"%q: the first label has %d bytes, not 1 to %d",
					full,
					len(label),
					maxLabelLength,
				)
			}
			if !utf8.ValidString(label) {
				return "", "", fmt.Errorf("%q: the first label is not UTF-8", full)
			}
			return label, full[i+1:], nil
		case '\\':
			c, size, err := unescape(full, i)
			if err != nil {
				return "", "", err
			}
			unescaped.WriteByte(c)
			i += size
		default:
			unescaped.WriteByte(full[i])
			i++
		}
	}
	return "", "", fmt.Errorf("%q has nothing behind its first label", full)
}

// unescape reads the escape at full[at]: a backslash and three decimal digits, or and any other character. size is how
// many bytes it has.
func unescape(full string, at int) (c byte, size int, err error) {
	const decimalSize = 4
	if end := at + decimalSize; end <= len(full) && allDigits(full[at+1:end]) {
		digits := full[at+1 : end]
		value := int(digits[0]-'0')*100 + int(digits[1]-'0')*10 + int(digits[2]-'0')
		if value > math.MaxUint8 {
			return 0, 0, fmt.Errorf("%q: \\%s is no byte", full, digits)
		}
		return byte(value), decimalSize, nil
	}
	if at+1 == len(full) {
		return 0, 0, fmt.Errorf("%q ends in an escape", full)
	}
	return full[at+1], 2, nil
}

func allDigits(s string) bool {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return true
}

// JoinInstance is the full name, in presentation form, of the instance label in the service and domain rest.
func JoinInstance(label, rest string) (string, error) {
	if label == "" || len(label) > maxLabelLength || !utf8.ValidString(label) {
		return "", fmt.Errorf("%q is no label: 1 to %d bytes of UTF-8", label, maxLabelLength)
	}
	var escaped strings.Builder
	for i := range len(label) {
		switch c := label[i]; {
		case strings.IndexByte(`.\"();@$`, c) >= 0:
			escaped.WriteByte('\\')
			escaped.WriteByte(c)
		case c <= ' ' || c >= 0x7f:
			fmt.Fprintf(&escaped, `\%03d`, c)
		default:
			escaped.WriteByte(c)
		}
	}
	return escaped.String() + "." + rest, nil
}
