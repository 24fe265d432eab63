// Package record interprets DNS-SD records (RFC 6763): it decodes names and attributes, selects an instance's target,
// caches the records of a domain, and decides whether a list that has lost instances is accepted. It has no clock and
// does no I/O.
package record

import (
	"fmt"
	"math"
	"strings"
	"unicode/utf8"
)

// maxLabelLength is the maximum length of a label in bytes (RFC 1035, 2.3.4).
const maxLabelLength = 63

// SplitInstance splits a full instance name in presentation form into the unescaped instance label and the service,
// which is the service type and domain. Instance labels are any UTF-8, including dots and spaces (RFC 6763, 4.1.1).
func SplitInstance(full string) (label, service string, err error) {
	var unescaped strings.Builder
	for i := 0; i < len(full); {
		switch full[i] {
		case '.':
			label = unescaped.String()
			if label == "" || len(label) > maxLabelLength {
				return "", "", fmt.Errorf(
					"instance name %q: first label has %d bytes, not 1 to %d",
					full,
					len(label),
					maxLabelLength,
				)
			}
			if !utf8.ValidString(label) {
				return "", "", fmt.Errorf("instance name %q: first label is not valid UTF-8", full)
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
	return "", "", fmt.Errorf("instance name %q: no service after the first label", full)
}

// unescape decodes the escape sequence at full[at]: a backslash followed by three decimal digits or by any other
// character. size is the length of the sequence in bytes.
func unescape(full string, at int) (c byte, size int, err error) {
	const decimalSize = 4
	if end := at + decimalSize; end <= len(full) && allDigits(full[at+1:end]) {
		digits := full[at+1 : end]
		value := int(digits[0]-'0')*100 + int(digits[1]-'0')*10 + int(digits[2]-'0')
		if value > math.MaxUint8 {
			return 0, 0, fmt.Errorf("instance name %q: escape \\%s exceeds 255", full, digits)
		}
		return byte(value), decimalSize, nil
	}
	if at+1 == len(full) {
		return 0, 0, fmt.Errorf("instance name %q: incomplete escape at the end", full)
	}
	return full[at+1], 2, nil
}

// allDigits reports whether s has decimal digits only.
func allDigits(s string) bool {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return false
		}
	}
	return true
}

// JoinInstance returns the full name, in presentation form, of the instance with the given label. service is the
// service type and domain.
func JoinInstance(label, service string) (string, error) {
	if label == "" || len(label) > maxLabelLength || !utf8.ValidString(label) {
		return "", fmt.Errorf("instance label %q is not 1 to %d bytes of valid UTF-8", label, maxLabelLength)
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
	return escaped.String() + "." + service, nil
}
