package store

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/stretchr/testify/require"
)

func TestMemoryWritesAllOrNothing(t *testing.T) {
	m := NewMemory()
	v, err := m.Write(t.Context(), Op{Key: "a", Data: []byte("1")})
	require.NoError(t, err)
	_, err = m.Write(t.Context(), Op{Key: "b", Data: []byte("2")}, Op{Key: "a", Data: []byte("3"), ExpectedVersion: v + 1})
	require.ErrorIs(t, err, ErrConflict)
	require.Zero(t, m.Get("b").Version)
	_, err = m.Write(t.Context(), Op{Key: "a", Data: []byte("3"), ExpectedVersion: v})
	require.NoError(t, err)
	require.Equal(t, "3", string(m.Get("a").Data))
	_, err = m.Write(t.Context(), Op{Key: "a", ExpectedVersion: AnyVersion})
	require.NoError(t, err)
	require.Empty(t, m.List(""))
}

// members starts a replicated store of three on loopback.
func members(t testing.TB, dir func(i int) string) []*Raft {
	var listeners []net.Listener
	var list []Member
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		list = append(list, Member{ID: fmt.Sprint(i), Address: l.Addr().String()})
	}
	var all []*Raft
	for i, l := range listeners {
		r, err := OpenRaft(RaftOptions{ID: fmt.Sprint(i), Listener: l, Members: list, Dir: dir(i), LogOutput: io.Discard,
			HeartbeatTimeout: 200 * time.Millisecond})
		require.NoError(t, err)
		all = append(all, r)
	}
	return all
}

func leader(t testing.TB, all []*Raft) (r *Raft, at int) {
	require.Eventually(t, func() bool {
		for i, m := range all {
			if m == nil {
				continue
			}
			if _, ok := m.Leadership(); ok {
				r, at = m, i
				return true
			}
		}
		return false
	}, 20*time.Second, 5*time.Millisecond)
	return r, at
}

// A committed key outlives the leader that wrote it; the old leader and the followers write nothing.
func TestLeaderIsLost(t *testing.T) {
	all := members(t, func(int) string { return t.TempDir() })
	first, at := leader(t, all)
	v, err := first.Write(t.Context(), Op{Key: "line", Data: []byte("out")})
	require.NoError(t, err)
	_, err = all[(at+1)%3].Write(t.Context(), Op{Key: "line", Data: []byte("mine"), ExpectedVersion: AnyVersion})
	require.ErrorIs(t, err, ErrNotLeader)
	term, _ := first.Leadership()
	require.NoError(t, first.Close())
	all[at] = nil
	second, next := leader(t, all)
	later, _ := second.Leadership()
	require.Greater(t, later, term)
	require.Equal(t, Value{[]byte("out"), v}, second.Get("line"), "a leader has all that was committed before it")
	_, err = second.Write(t.Context(), Op{Key: "line", Data: []byte("done"), ExpectedVersion: v})
	require.NoError(t, err)
	all[next] = nil
	require.NoError(t, second.Close())
	for _, m := range all {
		if m != nil {
			require.NoError(t, m.Close())
		}
	}
}

// BenchmarkRaftCommit measures what a commit of a small key costs three members on loopback, for the page
// that says why the platform has one member in memory.
func BenchmarkRaftCommit(b *testing.B) {
	for _, disk := range []bool{false, true} {
		b.Run(map[bool]string{false: "memory", true: "disk"}[disk], func(b *testing.B) {
			all := members(b, func(int) string {
				if disk {
					return b.TempDir()
				}
				return ""
			})
			l, _ := leader(b, all)
			data := []byte(`{"state":"out","until":1796121600000,"tries":1}`)
			sum := func() (n int64) {
				for _, m := range all {
					n += m.BytesSent()
				}
				return n
			}
			idle := sum()
			time.Sleep(time.Second)
			idle = sum() - idle
			before, began := sum(), time.Now()
			for i := 0; b.Loop(); i++ {
				_, err := l.Write(b.Context(), Op{Key: fmt.Sprintf("line/%d", i%100), Data: data, ExpectedVersion: AnyVersion})
				require.NoError(b, err)
			}
			still := float64(idle) * time.Since(began).Seconds()
			b.ReportMetric((float64(sum()-before)-still)/float64(b.N), "wire-B/op")
			b.ReportMetric(float64(idle), "idle-B/s")
			for _, m := range all {
				_ = m.Close()
			}
		})
	}
}

// A member that was brought up to date by a snapshot has caught up, though it never applied the writes one by one; an
// entry that cannot be read is named, and is behind it all the same.
func TestCaughtUpBySnapshot(t *testing.T) {
	var at, after atomic.Uint64
	m := stateMachine{newKeyspace(), &at}
	m.Apply(&raft.Log{Index: 7, Data: []byte(`[{"key":"a","data":"MQ==","if":0}]`)})
	said := m.Apply(&raft.Log{Index: 8, Data: []byte(`[{"key":`)}).(applyResult)
	require.ErrorContains(t, said.err, "entry 8 of the log cannot be read")
	require.EqualValues(t, 8, at.Load())
	taken, err := m.Snapshot()
	require.NoError(t, err)
	behind := stateMachine{newKeyspace(), &after}
	require.NoError(t, behind.Restore(io.NopCloser(bytes.NewReader(taken.(encodedSnapshot)))))
	require.Equal(t, "1", string(behind.Get("a").Data))
	require.EqualValues(t, 8, after.Load())
	require.ErrorContains(t, behind.Restore(io.NopCloser(bytes.NewReader(taken.(encodedSnapshot)[:9]))), "the snapshot cannot be read")
	require.Equal(t, "1", string(behind.Get("a").Data), "what cannot be read changes nothing")
}

// What was acknowledged is there after a kill at any moment; a log file that is damaged is named, and never opened as an
// empty one.
func TestDamagedLog(t *testing.T) {
	open := func(dir string) (*Raft, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		return OpenRaft(RaftOptions{ID: "1", Listener: l, Members: []Member{{ID: "1", Address: l.Addr().String()}}, Dir: dir, LogOutput: io.Discard,
			HeartbeatTimeout: 100 * time.Millisecond})
	}
	dir := t.TempDir()
	r, err := open(dir)
	require.NoError(t, err)
	leader(t, []*Raft{r})
	_, err = r.Write(t.Context(), Op{Key: "line", Data: []byte("out")})
	require.NoError(t, err)
	_, err = open(dir)
	require.ErrorContains(t, err, "another program has this store open")
	require.NoError(t, r.Close())
	file := filepath.Join(dir, "raft.db")
	whole, err := os.ReadFile(file)
	require.NoError(t, err)
	for name, damaged := range map[string][]byte{"cut off": whole[:len(whole)/2], "a page long": whole[:4096], "overwritten": bytes.Repeat([]byte("x"), len(whole))} {
		other := t.TempDir()
		file := filepath.Join(other, "raft.db")
		require.NoError(t, os.WriteFile(file, damaged, 0o600))
		_, err := open(other)
		require.ErrorContains(t, err, file, name)
	}
	r, err = open(dir)
	require.NoError(t, err)
	leader(t, []*Raft{r})
	require.Equal(t, "out", string(r.Get("line").Data))
	require.NoError(t, r.Close())
}
