package settings

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	// MaxNoteBytes is the maximum size of a version's note, and of its author's name.
	MaxNoteBytes = 1000
	// MaxVersions is the maximum number of versions that are stored.
	MaxVersions = 200
)

// Version is one version of the shared document.
type Version struct {
	Number     uint64    `json:"number"` // version number, from 1
	Author     string    `json:"author"`
	Note       string    `json:"note,omitempty"`
	CreatedAt  time.Time `json:"at"`
	Text       string    `json:"text,omitempty"`
	RollbackTo uint64    `json:"back,omitempty"` // number of the version whose text this one restores; 0 if none
}

// ErrStale is returned for a change that is based on a version other than the latest. It is wrapped by a *StaleError.
var ErrStale = errors.New("the configuration has changed meanwhile")

// StaleError reports that a change is based on a version other than the latest. It wraps ErrStale.
type StaleError struct {
	Latest uint64 // number of the latest version
	Base   uint64 // number of the version that the change is based on
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("%v: version %d is the latest, the change is to %d", ErrStale, e.Latest, e.Base)
}

// Unwrap returns ErrStale.
func (*StaleError) Unwrap() error { return ErrStale }

// NextVersion validates a change that is based on version base, and returns it with the version number after latest.
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
