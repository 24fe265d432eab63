package handover

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"standpoint/internal/testpeer/golden"
)

// The record's keys, as processes of other builds read and write them.
func TestGoldenRecord(t *testing.T) {
	value := Record{Version: 1, Boot: "boot-1", DownSince: map[string]int64{"s-1": 11},
		RestoredAt: map[string]int64{"s-2": 12}, Listed: []string{"s-1", "s-2"}}
	golden.RoundTrip(t, "record.json", value, func(r Record) ([]byte, error) { return json.Marshal(r) }, DecodeRecord)
}

// The words in which a record is refused.
func TestGoldenRecordErrors(t *testing.T) {
	many := make([]string, maxNames+1)
	for i := range many {
		many[i] = "s"
	}
	tooMany, err := json.Marshal(Record{Version: recordVersion, Listed: many})
	require.NoError(t, err)
	var said strings.Builder
	for _, raw := range []string{strings.Repeat(" ", maxFileBytes+1), "{", `{"version":2}`,
		`{"version":1,"down":{"":1}}`, string(tooMany)} {
		_, err := DecodeRecord([]byte(raw))
		require.Error(t, err)
		fmt.Fprintf(&said, "%.40s\n\t%s\n", raw, err)
	}
	golden.Bytes(t, "errors.txt", []byte(said.String()))
}

// The names of the files that the processes of a node share.
func TestGoldenFileNames(t *testing.T) {
	dir := t.TempDir()
	s, err := open(dir, "node-a", 4711)
	require.NoError(t, err)
	_, err = s.UpdateRecord(func(r *Record) { r.DownSince["s-1"] = 1 })
	require.NoError(t, err)
	require.NoError(t, s.WriteLearned([]byte("learned")))
	l, err := s.listenForStreams()
	require.NoError(t, err)
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	var names []string
	for _, f := range files {
		names = append(names, f.Name()+"\n")
	}
	slices.Sort(names)
	golden.Bytes(t, "files.txt", []byte(strings.Join(names, "")))
	raw, ok := s.ReadLearned(time.Now().Add(-time.Minute))
	require.True(t, ok)
	require.Equal(t, "learned", string(raw))
	require.NoError(t, l.Close())
	require.NoError(t, s.Close())
}

// streams are two connected stream sockets, as descriptors.
func streams(t *testing.T) (first, second int) {
	t.Helper()
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = unix.Close(pair[0])
		_ = unix.Close(pair[1])
	})
	return pair[0], pair[1]
}

// The bytes by which a stream goes to another process, and the answer: both sides against a peer of plain sockets.
func TestGoldenPassing(t *testing.T) {
	dir := t.TempDir()
	s, err := open(dir, "node-a", 1)
	require.NoError(t, err)
	defer func() { _ = s.Close() }()
	first, second := streams(t)
	require.EqualError(t, s.PassStream([]byte("text"), first, second), "no other process takes anything")
	peer, err := net.ListenUnix("unix", &net.UnixAddr{Name: s.pathPrefix + ".2.live.take", Net: "unix"})
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	passed := make(chan error, 1)
	go func() { passed <- s.PassStream([]byte(`{"class":"chat"}`), first, second) }()
	c, err := peer.AcceptUnix()
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	head, rights := make([]byte, 64), make([]byte, unix.CmsgSpace(8))
	n, m, _, _, err := c.ReadMsgUnix(head, rights)
	require.NoError(t, err)
	messages, err := unix.ParseSocketControlMessage(rights[:m])
	require.NoError(t, err)
	require.Len(t, messages, 1)
	fds, err := unix.ParseUnixRights(&messages[0])
	require.NoError(t, err)
	require.Len(t, fds, 2)
	for _, fd := range fds {
		require.NoError(t, unix.Close(fd))
	}
	rest := make([]byte, 4+len(`{"class":"chat"}`)-n)
	_, err = io.ReadFull(c, rest)
	require.NoError(t, err)
	golden.Bytes(t, "passing.bin", append(head[:n], rest...))
	_, err = c.Write([]byte("y"))
	require.NoError(t, err)
	require.NoError(t, <-passed)

	// The same bytes, sent to this side.
	raw, err := os.ReadFile(golden.Path("passing.bin"))
	require.NoError(t, err)
	require.EqualValues(t, len(raw)-4, binary.BigEndian.Uint32(raw))
	texts := make(chan string, 1)
	ended := make(chan error, 1)
	go func() {
		ended <- s.AcceptStreams(t.Context(), func(text []byte, a, b net.Conn) bool {
			texts <- string(text)
			return a.Close() == nil && b.Close() == nil
		})
	}()
	path := filepath.Join(dir, filepath.Base(s.liveFile.Name()+".take"))
	require.Eventually(t, func() bool { _, err := os.Stat(path); return err == nil }, 5*time.Second, time.Millisecond)
	to, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	require.NoError(t, err)
	defer func() { _ = to.Close() }()
	_, _, err = to.WriteMsgUnix(raw[:4], unix.UnixRights(first, second), nil)
	require.NoError(t, err)
	_, err = to.Write(raw[4:])
	require.NoError(t, err)
	answer, err := io.ReadAll(to)
	require.NoError(t, err)
	require.Equal(t, "y", string(answer))
	require.Equal(t, `{"class":"chat"}`, <-texts)
}
