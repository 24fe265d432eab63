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
	minTokenLength = 16   // bytes
	maxTokenLength = 1024 // bytes

	groupOtherPermissions = 0o077 // the mode bits that permit access to the group and to others
	bearerPrefix          = "Bearer "
)

// ReadToken reads a token from a file. It returns an error if the file's mode permits access to anyone but its owner.
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
	if mode := info.Mode().Perm(); mode&groupOtherPermissions != 0 {
		return "", fmt.Errorf("%s: others may read it (mode %04o); chmod 600 it", path, mode)
	}
	raw, err := io.ReadAll(io.LimitReader(file, maxTokenLength+1))
	if err != nil {
		return "", err
	}
	token := strings.TrimSpace(string(raw))
	if len(token) < minTokenLength || len(token) > maxTokenLength {
		return "", fmt.Errorf("%s: a token must have %d to %d characters, not %d",
			path, minTokenLength, maxTokenLength, len(token))
	}
	return token, nil
}

// ReloadToken reads the token file again. On an error the previous token remains valid.
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

// authorized reports whether the caller may make changes: it presented the token, or it is the owner of the unix
// socket.
func (s *Server) authorized(r *http.Request) bool {
	if owner, _ := r.Context().Value(peerOwnerKey{}).(bool); owner {
		return true
	}
	want := s.tokenSum.Load()
	presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if want == nil || !ok {
		return false
	}
	sum := sha256.Sum256([]byte(presented)) // hashed to equal lengths, so that the time of the comparison reveals nothing
	return subtle.ConstantTimeCompare(sum[:], want[:]) == 1
}
