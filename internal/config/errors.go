package config

import "fmt"

// KeyError is an error in the value of a configuration key.
type KeyError struct {
	// Key is the path of the key as operators write it, such as "class[0].give_up".
	Key string
	// Reason states what is wrong with the value, with the value and its bounds.
	Reason string
}

// Error implements error.
func (e *KeyError) Error() string { return e.Key + ": " + e.Reason }

// keyError returns a *KeyError whose reason is formatted like fmt.Sprintf.
func keyError(key, format string, args ...any) error {
	return &KeyError{Key: key, Reason: fmt.Sprintf(format, args...)}
}

// indexed returns the path of a key in the i-th section of an array of sections.
func indexed(section string, i int, key string) string {
	return fmt.Sprintf("%s[%d].%s", section, i, key)
}
