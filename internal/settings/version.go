package settings

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	// MaxNoteBytes is how many bytes a version's note, and its author's name, may have.
	MaxNoteBytes = 1000
	// MaxVersions is how many versions are kept.
	MaxVersions = 200
)

// Version is one version of the shared document.
type Version struct {
	Number     uint64    `json:"number"` // from 1
	Author     string    `json:"author"`
	Note       string    `json:"note,omitempty"`
	CreatedAt  time.Time `json:"at"`
	Text       string    `json:"text,omitempty"`
	RollbackTo uint64    `json:"back,omitempty"` // the version whose text this one restores; 0: none
}

// ErrStale is the error of a change that was made to a version which is no longer the latest. A *StaleError wraps it.
var ErrStale = errors.New("the configuration has changed meanwhile")

// StaleError names the versions of a change that came too late. It wraps ErrStale.
type StaleError struct {
	Latest uint64
	Base   uint64 // the version that the change was made to
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("%v: version %d is the latest, the change is to %d", ErrStale, e.Latest, e.Base)
}

// Unwrap makes errors.Is(err, ErrStale) hold.
func (*StaleError) Unwrap() error { return ErrStale }

// NextVersion checks a change that was made to version base, and returns it with its number, the one after latest.
func NextVersion(latest, base uint64, change Version) (Version, error) {
	if base != latest {
		return change, &StaleError{Latest: latest, Base: base}
	}
	if strings.TrimSpace(change.Author) == "" {
		return change, errors.New("author: missing")
	}
	if len(change.Note) > MaxNoteBytes || len(change.Author) > MaxNoteBytes {
		return change, fmt.Errorf("note, author: %d bytes at most", MaxNoteBytes)
	}
	if _, err := Parse(change.Text); err != nil {
		return change, err
	}
	change.Number = latest + 1
	return change, nil
}
