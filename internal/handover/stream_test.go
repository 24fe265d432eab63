package handover

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// passTest is two processes of a node in one directory; the second accepts streams.
type passTest struct {
	sender, receiver *Channel
	taken            chan string // the texts of the streams that the receiver has taken over
}

// newPassTest starts a receiver that agrees to take over streams if accept is set.
func newPassTest(t *testing.T, accept bool) *passTest {
	t.Helper()
	dir := t.TempDir()
	sender, err := open(dir, "n", 1)
	require.NoError(t, err)
	receiver, err := open(dir, "n", 2)
	require.NoError(t, err)
	p := &passTest{sender: sender, receiver: receiver, taken: make(chan string, 1)}
	go func() {
		_ = receiver.AcceptStreams(t.Context(), zap.NewNop(), func(text []byte, first, second net.Conn) func() {
			if !accept {
				return nil
			}
			return func() {
				p.taken <- string(text)
				_ = first.Close()
				_ = second.Close()
			}
		})
	}()
	require.Eventually(t, func() bool { _, err := os.Stat(p.socket()); return err == nil }, 5*time.Second,
		time.Millisecond)
	t.Cleanup(func() {
		_ = sender.Close()
		_ = receiver.Close()
	})
	return p
}

// socket returns the path of the receiver's socket.
func (p *passTest) socket() string { return p.receiver.liveFile.Name() + socketSuffix }

// requireNotTaken requires that the receiver does not take over a stream.
func (p *passTest) requireNotTaken(t *testing.T) {
	t.Helper()
	select {
	case text := <-p.taken:
		t.Fatalf("stream %q was taken over", text)
	case <-time.After(100 * time.Millisecond):
	}
}

// Guards against a stream that both processes or neither own: the receiver takes it over once the sender has committed.
func TestPassInTwoPhases(t *testing.T) {
	t.Parallel()
	p := newPassTest(t, true)
	first, second := socketPair(t)
	require.NoError(t, p.sender.PassStream([]byte("text"), first, second))
	require.Equal(t, "text", <-p.taken)
}

// Guards against a stream that is refused because the socket of the receiver has its name before it listens.
func TestNamedSocketListens(t *testing.T) {
	t.Parallel()
	receiver, err := open(t.TempDir(), "n", 1)
	require.NoError(t, err)
	t.Cleanup(func() { _ = receiver.Close() })
	path := receiver.liveFile.Name() + socketSuffix
	short, release, err := shortSocketPath(path)
	require.NoError(t, err)
	t.Cleanup(release)
	for range 2000 {
		ready := make(chan *net.UnixListener)
		go func() {
			listener, err := receiver.listenForStreams()
			assert.NoError(t, err)
			ready <- listener
		}()
		var conn net.Conn
		for errors.Is(err, os.ErrNotExist) || conn == nil {
			conn, err = net.Dial("unix", short)
			require.False(t, err != nil && !errors.Is(err, os.ErrNotExist), err)
		}
		require.NoError(t, conn.Close())
		require.NoError(t, (<-ready).Close())
		require.NoError(t, os.Remove(path))
	}
}

// Guards against a refusal that the sender takes for an uncertain outcome: it keeps the stream.
func TestRefusalIsCertain(t *testing.T) {
	t.Parallel()
	p := newPassTest(t, false)
	first, second := socketPair(t)
	err := p.sender.PassStream([]byte("text"), first, second)
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrUncertain)
}

// Guards against a stream that the receiver takes over although its sender has ended before it committed.
func TestNoTakeOverWithoutCommit(t *testing.T) {
	t.Parallel()
	p := newPassTest(t, true)
	first, second := socketPair(t)
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: p.socket(), Net: "unix"})
	require.NoError(t, err)
	pass := streamPass{text: []byte("text"), fds: []int{first, second}, twoPhase: true}
	require.NoError(t, pass.writeMessage(conn))
	var response [1]byte
	_, err = io.ReadFull(conn, response[:])
	require.NoError(t, err)
	require.EqualValues(t, agreedByte, response[0])
	p.requireNotTaken(t)
	require.NoError(t, conn.Close())
	p.requireNotTaken(t)
}

// Guards against a sender that keeps a stream which a process of an older version may have taken over: without a
// confirmation in time the outcome is uncertain. A process of this version takes over nothing without a commit.
func TestMissingConfirmation(t *testing.T) {
	t.Parallel()
	for name, version := range map[string]string{"older version": "", "this version": "2\n"} {
		dir := t.TempDir()
		sender, err := open(dir, "n", 1)
		require.NoError(t, err)
		livePath := sender.pathPrefix + ".2" + liveSuffix
		require.NoError(t, os.WriteFile(livePath, []byte(version), fileMode))
		silent, err := net.ListenUnix("unix", &net.UnixAddr{Name: livePath + socketSuffix, Net: "unix"})
		require.NoError(t, err)
		first, second := socketPair(t)
		err = sender.PassStream([]byte("text"), first, second)
		require.Error(t, err)
		if version == "" {
			require.ErrorIs(t, err, ErrUncertain, name)
		} else {
			require.NotErrorIs(t, err, ErrUncertain, name)
		}
		require.NoError(t, silent.Close())
		require.NoError(t, sender.Close())
	}
}

// Guards against an older process that cannot read what this one sends: the length has no flag for it.
func TestPassToOlderVersion(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	sender, err := open(dir, "n", 1)
	require.NoError(t, err)
	defer func() { _ = sender.Close() }()
	path := sender.pathPrefix + ".2" + liveSuffix + socketSuffix
	older, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	require.NoError(t, err)
	defer func() { _ = older.Close() }()
	lengths := make(chan uint32, 1)
	go func() {
		conn, err := older.AcceptUnix()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		var length [lengthBytes]byte
		ancillary := make([]byte, unix.CmsgSpace(descriptorsPerPass*descriptorBytes))
		_, n, _, _, _ := conn.ReadMsgUnix(length[:], ancillary)
		fds, _ := parseDescriptors(ancillary[:n])
		closeDescriptors(fds)
		lengths <- binary.BigEndian.Uint32(length[:])
		_, _ = io.CopyN(io.Discard, conn, int64(len("text")))
		_, _ = conn.Write([]byte{acceptedByte})
	}()
	first, second := socketPair(t)
	require.NoError(t, sender.PassStream([]byte("text"), first, second))
	require.EqualValues(t, len("text"), <-lengths)
}
