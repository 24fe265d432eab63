package session

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	idLength  = 32
	hexDigits = "0123456789abcdef"
)

// ResumeKey returns the key by which a client resumes a session at a pause.
func ResumeKey(id string, turn int) string { return id + "." + strconv.Itoa(turn) }

// ParseResumeKey splits a key into the session's ID and the pause's turn. The error wraps ErrMalformedKey.
func ParseResumeKey(key string) (id string, turn int, err error) {
	id, number, found := strings.Cut(key, ".")
	turn, err = strconv.Atoi(number)
	if !found || err != nil || turn < 1 || len(id) != idLength || strings.Trim(id, hexDigits) != "" {
		return "", 0, fmt.Errorf("%w: %q", ErrMalformedKey, key)
	}
	return id, turn, nil
}
