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

// openMembers starts a replicated store of three on loopback, with their logs in the directories that dir returns.
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

// openSingle starts a store of one member.
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

// awaitLeader waits for a leader among members, of which those that are closed are nil.
func awaitLeader(t testing.TB, members ...*Raft) (leader *Raft, at int) {
	t.Helper()
	require.Eventually(t, func() bool {
		for i, m := range members {
			if m == nil {
				continue
			}
			if _, leads := m.Leadership(); leads {
				leader = m
				at = i
				return true
			}
		}
		return false
	}, 20*time.Second, 5*time.Millisecond)
	return leader, at
}

// A committed key outlives the leader that wrote it; followers write nothing.
func TestLeaderIsLost(t *testing.T) {
	members := openMembers(t, func(int) string { return t.TempDir() })
	first, at := awaitLeader(t, members...)
	version, err := first.Write(t.Context(), Op{Key: "line", Data: []byte("out")})
	require.NoError(t, err)
	_, err = members[(at+1)%3].Write(t.Context(), Op{Key: "line", Data: []byte("mine"), ExpectedVersion: AnyVersion})
	require.ErrorIs(t, err, ErrNotLeader)
	term, _ := first.Leadership()
	require.NoError(t, first.Close())
	members[at] = nil
	second, next := awaitLeader(t, members...)
	later, _ := second.Leadership()
	require.Greater(t, later, term)
	require.Equal(t, Value{[]byte("out"), version}, second.Get("line"), "a leader has all that was committed before it")
	_, err = second.Write(t.Context(), Op{Key: "line", Data: []byte("done"), ExpectedVersion: version})
	require.NoError(t, err)
	members[next] = nil
	require.NoError(t, second.Close())
	for _, m := range members {
		if m != nil {
			require.NoError(t, m.Close())
		}
	}
}

// BenchmarkRaftCommit measures what a commit of a small key costs three members on loopback, for the page that says
// why the platform has one member in memory.
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
		for _, m := range members {
			bytes += m.BytesSent()
		}
		return bytes
	}
	beforeIdle := sent()
	time.Sleep(time.Second) // what heartbeats alone cost is measured
	idlePerSecond := float64(sent() - beforeIdle)
	before := sent()
	began := time.Now()
	for i := 0; b.Loop(); i++ {
		op := Op{Key: fmt.Sprintf("line/%d", i%100), Data: data, ExpectedVersion: AnyVersion}
		_, err := leader.Write(b.Context(), op)
		require.NoError(b, err)
	}
	heartbeats := idlePerSecond * time.Since(began).Seconds()
	b.ReportMetric((float64(sent()-before)-heartbeats)/float64(b.N), "wire-B/op")
	b.ReportMetric(idlePerSecond, "idle-B/s")
	for _, m := range members {
		_ = m.Close()
	}
}

// What was acknowledged is there after a kill at any moment; a log file that is damaged is named, and never opened as
// an empty one.
func TestDamagedLog(t *testing.T) {
	dir := t.TempDir()
	r, err := openSingle(t, dir)
	require.NoError(t, err)
	awaitLeader(t, r)
	_, err = r.Write(t.Context(), Op{Key: "line", Data: []byte("out")})
	require.NoError(t, err)
	_, err = openSingle(t, dir)
	require.ErrorContains(t, err, "another program has this store open")
	require.NoError(t, r.Close())
	content, err := os.ReadFile(filepath.Join(dir, logFileName))
	require.NoError(t, err)
	for name, damaged := range map[string][]byte{
		"cut off":     content[:len(content)/2],
		"a page long": content[:4096],
		"overwritten": bytes.Repeat([]byte("x"), len(content)),
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
