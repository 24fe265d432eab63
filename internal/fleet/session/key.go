package session

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	idLength  = 32 // characters of a session ID
	hexDigits = "0123456789abcdef"
)

// ResumeKey returns the key with which a client resumes a session from the pause of the given turn.
func ResumeKey(id string, turn int) string { return id + "." + strconv.Itoa(turn) }

// ParseResumeKey splits a resume key into the session ID and the turn of the pause. Its error wraps ErrMalformedKey.
func ParseResumeKey(key string) (id string, turn int, err error) {
	id, turnText, found := strings.Cut(key, ".")
	turn, err = strconv.Atoi(turnText)
	if !found || err != nil || turn < 1 || len(id) != idLength || strings.Trim(id, hexDigits) != "" {
		return "", 0, fmt.Errorf("%w: %q", ErrMalformedKey, key)
	}
	return id, turn, nil
}
