package record

import "strings"

// Attributes are the values of TXT records by key, in lower case.
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

// ParseTXT parses the strings of TXT records (RFC 6763, 6.4): keys are printable ASCII without "=", in any case; the
// first of a key wins; strings that begin with "=" are ignored, as empty ones are. Keys beyond 64 are ignored.
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
