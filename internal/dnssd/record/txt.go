package record

import "strings"

// Attributes has the attributes of TXT records by key in lower case.
type Attributes map[string]Attribute

// Attribute is the value of a key. HasValue distinguishes "key=", with an empty value, from "key", without a value.
type Attribute struct {
	Value    string
	HasValue bool
}

const (
	// maxAttributes is the maximum number of keys of an instance.
	maxAttributes = 64
	// maxKeyLength is the maximum length of a key in bytes; RFC 6763, 6.4 recommends at most nine.
	maxKeyLength = 64
)

// ParseTXT parses the strings of TXT records (RFC 6763, 6.4). Keys are printable ASCII without "=", in any case. The
// first string with a key takes precedence. Strings with an empty, invalid or too long key, and keys beyond the first
// 64 are ignored.
func ParseTXT(texts []string) Attributes {
	attributes := Attributes{}
	for _, text := range texts {
		key, value, hasValue := strings.Cut(text, "=")
		if !validKey(key) {
			continue
		}
		key = strings.ToLower(key)
		if _, known := attributes[key]; known || len(attributes) == maxAttributes {
			continue
		}
		attributes[key] = Attribute{Value: value, HasValue: hasValue}
	}
	return attributes
}

// validKey reports whether a key has 1 to maxKeyLength printable ASCII characters.
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
