package control

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
)

const (
	minTokenLength = 16 // characters
	maxTokenLength = 1024

	othersPermissions = 0o077 // the mode bits of the group and of others
	bearerPrefix      = "Bearer "
)

// ReadToken reads a token from a file, which nobody but its owner may be permitted to read.
func ReadToken(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer func() { _ = file.Close() }()
	info, err := file.Stat()
	if err != nil {
		return "", err
	}
	if mode := info.Mode().Perm(); mode&othersPermissions != 0 {
		return "", fmt.Errorf("%s: others may read it (mode %04o); chmod 600 it", path, mode)
	}
	raw, err := io.ReadAll(io.LimitReader(file, maxTokenLength+1))
	if err != nil {
		return "", err
	}
	token := strings.TrimSpace(string(raw))
	if len(token) < minTokenLength || len(token) > maxTokenLength {
		return "", fmt.Errorf("%s: a token has %d to %d characters, this one %d",
			path, minTokenLength, maxTokenLength, len(token))
	}
	return token, nil
}

// ReloadToken reads the token file again. On an error the old token stays in force.
func (s *Server) ReloadToken() error {
	if s.tokenFile == "" {
		return nil
	}
	token, err := ReadToken(s.tokenFile)
	if err != nil {
		return fmt.Errorf("control.token_file: %w", err)
	}
	sum := sha256.Sum256([]byte(token))
	s.tokenSum.Store(&sum)
	return nil
}

// authorized tells whether the caller may change something: it has the token, or is the owner of the unix socket.
func (s *Server) authorized(r *http.Request) bool {
	if owner, _ := r.Context().Value(peerOwnerKey{}).(bool); owner {
		return true
	}
	want := s.tokenSum.Load()
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if want == nil || !ok {
		return false
	}
	sum := sha256.Sum256([]byte(given)) // of equal lengths, so that the time of the comparison tells nothing
	return subtle.ConstantTimeCompare(sum[:], want[:]) == 1
}
