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
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"standpoint/internal/testpeer/golden"
)

// The JSON form of the record, as processes of other builds read and write it.
func TestGoldenRecord(t *testing.T) {
	value := Record{Version: 1, Boot: "boot-1", DisabledAt: map[string]int64{"s-1": 11},
		EnabledAt: map[string]int64{"s-2": 12}, Listed: []string{"s-1", "s-2"}}
	golden.RoundTrip(t, "record.json", value, func(r Record) ([]byte, error) { return json.Marshal(r) }, DecodeRecord)
}

// The texts of the errors for invalid records.
func TestGoldenRecordErrors(t *testing.T) {
	names := make([]string, maxNames+1)
	for i := range names {
		names[i] = "s"
	}
	tooMany, err := json.Marshal(Record{Version: recordVersion, Listed: names})
	require.NoError(t, err)
	var texts strings.Builder
	for _, raw := range []string{strings.Repeat(" ", maxFileBytes+1), "{", `{"version":2}`,
		`{"version":1,"down":{"":1}}`, string(tooMany)} {
		_, err := DecodeRecord([]byte(raw))
		require.Error(t, err)
		fmt.Fprintf(&texts, "%.40s\n\t%s\n", raw, err)
	}
	golden.Bytes(t, "errors.txt", []byte(texts.String()))
}

// The names of the files that the processes of a node share, as other builds expect them.
func TestGoldenFileNames(t *testing.T) {
	dir := t.TempDir()
	channel, err := open(dir, "node-a", 4711)
	require.NoError(t, err)
	_, err = channel.UpdateRecord(func(r *Record) { r.DisabledAt["s-1"] = 1 })
	require.NoError(t, err)
	require.NoError(t, channel.WriteLearned([]byte("learned")))
	listener, err := channel.listenForStreams()
	require.NoError(t, err)
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	var names []string
	for _, file := range files {
		names = append(names, file.Name()+"\n")
	}
	slices.Sort(names)
	golden.Bytes(t, "files.txt", []byte(strings.Join(names, "")))
	raw, ok := channel.ReadLearned(time.Now().Add(-time.Minute))
	require.True(t, ok)
	require.Equal(t, "learned", string(raw))
	require.NoError(t, listener.Close())
	require.NoError(t, channel.Close())
}

// socketPair returns the descriptors of two connected stream sockets.
func socketPair(t *testing.T) (first, second int) {
	t.Helper()
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = unix.Close(pair[0])
		_ = unix.Close(pair[1])
	})
	return pair[0], pair[1]
}

// The bytes by which a stream is passed to another process, and the confirmation. Sender and receiver are each tested
// against a peer that uses plain sockets.
func TestGoldenPassing(t *testing.T) {
	dir := t.TempDir()
	channel, err := open(dir, "node-a", 1)
	require.NoError(t, err)
	defer func() { _ = channel.Close() }()
	first, second := socketPair(t)
	require.EqualError(t, channel.PassStream([]byte("text"), first, second), "no sibling process accepts streams")
	peer, err := net.ListenUnix("unix", &net.UnixAddr{Name: channel.pathPrefix + ".2.live.take", Net: "unix"})
	require.NoError(t, err)
	defer func() { _ = peer.Close() }()
	passed := make(chan error, 1)
	go func() { passed <- channel.PassStream([]byte(`{"class":"chat"}`), first, second) }()
	conn, err := peer.AcceptUnix()
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	firstBytes, ancillary := make([]byte, 64), make([]byte, unix.CmsgSpace(8))
	n, ancillaryBytes, _, _, err := conn.ReadMsgUnix(firstBytes, ancillary)
	require.NoError(t, err)
	messages, err := unix.ParseSocketControlMessage(ancillary[:ancillaryBytes])
	require.NoError(t, err)
	require.Len(t, messages, 1)
	fds, err := unix.ParseUnixRights(&messages[0])
	require.NoError(t, err)
	require.Len(t, fds, 2)
	for _, fd := range fds {
		require.NoError(t, unix.Close(fd))
	}
	rest := make([]byte, 4+len(`{"class":"chat"}`)-n)
	_, err = io.ReadFull(conn, rest)
	require.NoError(t, err)
	golden.Bytes(t, "passing.bin", append(firstBytes[:n], rest...))
	_, err = conn.Write([]byte("y"))
	require.NoError(t, err)
	require.NoError(t, <-passed)

	// The same bytes, sent to the channel.
	raw, err := os.ReadFile(golden.Path("passing.bin"))
	require.NoError(t, err)
	require.EqualValues(t, len(raw)-4, binary.BigEndian.Uint32(raw))
	texts := make(chan string, 1)
	acceptDone := make(chan error, 1)
	go func() {
		acceptDone <- channel.AcceptStreams(t.Context(), zap.NewNop(), func(text []byte, a, b net.Conn) func() {
			return func() {
				texts <- string(text)
				_ = a.Close()
				_ = b.Close()
			}
		})
	}()
	path := filepath.Join(dir, filepath.Base(channel.liveFile.Name()+".take"))
	require.Eventually(t, func() bool { _, err := os.Stat(path); return err == nil }, 5*time.Second, time.Millisecond)
	sender, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: path, Net: "unix"})
	require.NoError(t, err)
	defer func() { _ = sender.Close() }()
	_, _, err = sender.WriteMsgUnix(raw[:4], unix.UnixRights(first, second), nil)
	require.NoError(t, err)
	_, err = sender.Write(raw[4:])
	require.NoError(t, err)
	response, err := io.ReadAll(sender)
	require.NoError(t, err)
	require.Equal(t, "y", string(response))
	require.Equal(t, `{"class":"chat"}`, <-texts)
}
