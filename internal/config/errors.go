package config

import "fmt"

// KeyError reports a key of the configuration whose value is missing or out of range.
type KeyError struct {
	// Key is the path of the key as operators write it, such as "class[0].give_up".
	Key string
	// Reason says what is wrong with its value.
	Reason string
}

// Error implements error.
func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

func keyError(key, format string, args ...any) error {
	return &KeyError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// indexed is the path of a key in the i-th element of a list of sections.
func indexed(section string, i int, key string) string {
	return fmt.Sprintf("%s[%d].%s", section, i, key)
}
