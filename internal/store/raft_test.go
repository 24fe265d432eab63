package store

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener
}

// openMembers starts a replicated store with three members on loopback. dir returns the directory of each member's log.
func openMembers(t testing.TB, dir func(i int) string) []*Raft {
	t.Helper()
	var listeners []net.Listener
	var members []Member
	for i := range 3 {
		listener := listen(t)
		listeners = append(listeners, listener)
		members = append(members, Member{ID: fmt.Sprint(i), Address: listener.Addr().String()})
	}
	var opened []*Raft
	for i, listener := range listeners {
		r, err := OpenRaft(RaftOptions{
			ID:               members[i].ID,
			Listener:         listener,
			Members:          members,
			Dir:              dir(i),
			LogOutput:        io.Discard,
			HeartbeatTimeout: 200 * time.Millisecond,
		})
		require.NoError(t, err)
		opened = append(opened, r)
	}
	return opened
}

// openSingle starts a replicated store with one member.
func openSingle(t testing.TB, dir string) (*Raft, error) {
	t.Helper()
	listener := listen(t)
	return OpenRaft(RaftOptions{
		ID:               "node-1",
		Listener:         listener,
		Members:          []Member{{ID: "node-1", Address: listener.Addr().String()}},
		Dir:              dir,
		LogOutput:        io.Discard,
		HeartbeatTimeout: 100 * time.Millisecond,
	})
}

// awaitLeader waits until one of the members leads, and returns it with its index. Closed members are nil.
func awaitLeader(t testing.TB, members ...*Raft) (leader *Raft, index int) {
	t.Helper()
	require.Eventually(t, func() bool {
		for i, m := range members {
			if m == nil {
				continue
			}
			if _, leads := m.Leadership(); leads {
				leader = m
				index = i
				return true
			}
		}
		return false
	}, 20*time.Second, 5*time.Millisecond)
	return leader, index
}

// A committed key survives the loss of the leader that wrote it, and writes to a follower fail.
func TestLeaderIsLost(t *testing.T) {
	members := openMembers(t, func(int) string { return t.TempDir() })
	first, firstIndex := awaitLeader(t, members...)
	version, err := first.Write(t.Context(), Op{Key: "line", Data: []byte("out")})
	require.NoError(t, err)
	_, err = members[(firstIndex+1)%3].
		Write(t.Context(), Op{Key: "line", Data: []byte("mine"), ExpectedVersion: AnyVersion})
	require.ErrorIs(t, err, ErrNotLeader)
	term, _ := first.Leadership()
	require.NoError(t, first.Close())
	members[firstIndex] = nil
	second, secondIndex := awaitLeader(t, members...)
	laterTerm, _ := second.Leadership()
	require.Greater(t, laterTerm, term)
	require.Equal(t, Value{[]byte("out"), version}, second.Get("line"), "a new leader has all committed writes")
	_, err = second.Write(t.Context(), Op{Key: "line", Data: []byte("done"), ExpectedVersion: version})
	require.NoError(t, err)
	members[secondIndex] = nil
	require.NoError(t, second.Close())
	for _, member := range members {
		if member != nil {
			require.NoError(t, member.Close())
		}
	}
}

// BenchmarkRaftCommit measures the cost of committing a small key with three members on loopback, which is the reason
// why the platform uses a single member in memory.
func BenchmarkRaftCommit(b *testing.B) {
	b.Run("memory", func(b *testing.B) {
		benchmarkCommit(b, openMembers(b, func(int) string { return "" }))
	})
	b.Run("disk", func(b *testing.B) {
		benchmarkCommit(b, openMembers(b, func(int) string { return b.TempDir() }))
	})
}

func benchmarkCommit(b *testing.B, members []*Raft) {
	leader, _ := awaitLeader(b, members...)
	data := []byte(`{"state":"out","until":1796121600000,"tries":1}`)
	sent := func() (bytes int64) {
		for _, member := range members {
			bytes += member.BytesSent()
		}
		return bytes
	}
	idleStart := sent()
	time.Sleep(time.Second) // measures the traffic of heartbeats alone
	idlePerSecond := float64(sent() - idleStart)
	sentAtStart := sent()
	startedAt := time.Now()
	for i := 0; b.Loop(); i++ {
		op := Op{Key: fmt.Sprintf("line/%d", i%100), Data: data, ExpectedVersion: AnyVersion}
		_, err := leader.Write(b.Context(), op)
		require.NoError(b, err)
	}
	heartbeats := idlePerSecond * time.Since(startedAt).Seconds()
	b.ReportMetric((float64(sent()-sentAtStart)-heartbeats)/float64(b.N), "wire-B/op")
	b.ReportMetric(idlePerSecond, "idle-B/s")
	for _, member := range members {
		_ = member.Close()
	}
}

// An acknowledged write is there after a restart. A second process cannot open the directory meanwhile, and a corrupt
// log file is reported with its path and never opened as an empty one.
func TestDamagedLog(t *testing.T) {
	dir := t.TempDir()
	r, err := openSingle(t, dir)
	require.NoError(t, err)
	awaitLeader(t, r)
	_, err = r.Write(t.Context(), Op{Key: "line", Data: []byte("out")})
	require.NoError(t, err)
	_, err = openSingle(t, dir)
	require.ErrorContains(t, err, "store is locked by another process")
	require.NoError(t, r.Close())
	content, err := os.ReadFile(filepath.Join(dir, logFileName))
	require.NoError(t, err)
	for name, damaged := range map[string][]byte{
		"truncated":     content[:len(content)/2],
		"one page long": content[:4096],
		"overwritten":   bytes.Repeat([]byte("x"), len(content)),
	} {
		other := t.TempDir()
		path := filepath.Join(other, logFileName)
		require.NoError(t, os.WriteFile(path, damaged, 0o600))
		_, err := openSingle(t, other)
		require.ErrorContains(t, err, path, name)
	}
	r, err = openSingle(t, dir)
	require.NoError(t, err)
	awaitLeader(t, r)
	require.Equal(t, "out", string(r.Get("line").Data))
	require.NoError(t, r.Close())
}
