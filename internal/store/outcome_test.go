package store

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// link relays connections to a member, unless it is cut.
type link struct {
	address string // to dial in place of the member's
	target  string

	mu          sync.Mutex // guards the rest
	down        bool
	connections map[net.Conn]bool
}

// newLink starts a link to a member.
func newLink(t *testing.T, target string) *link {
	t.Helper()
	listener := listen(t)
	l := &link{address: listener.Addr().String(), target: target, connections: map[net.Conn]bool{}}
	t.Cleanup(func() {
		listener.Close()
		l.cut(true)
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.relay(conn)
		}
	}()
	return l
}

// relay copies between a connection and the member.
func (l *link) relay(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	if !l.register(near, far) {
		return
	}
	go func() {
		_, _ = io.Copy(near, far)
		near.Close()
	}()
	_, _ = io.Copy(far, near)
}

// register adds connections that a cut closes; false if the link is cut.
func (l *link) register(connections ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range connections {
		l.connections[conn] = true
	}
	return !l.down
}

// cut cuts the link, or restores it.
func (l *link) cut(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	for conn := range l.connections {
		conn.Close()
	}
	clear(l.connections)
}

// linkedMembers are three members of a store, each of which reaches each other one through a link.
type linkedMembers struct {
	members []*Raft
	links   [3][3]*link
}

func openLinkedMembers(t *testing.T) *linkedMembers {
	t.Helper()
	l := &linkedMembers{}
	var listeners []net.Listener
	for range 3 {
		listeners = append(listeners, listen(t))
	}
	for i := range 3 {
		var members []Member
		for j, listener := range listeners {
			address := listener.Addr().String()
			member := Member{ID: fmt.Sprint(j), Address: address}
			if i != j {
				l.links[i][j] = newLink(t, address)
				member.DialAddress = l.links[i][j].address
			}
			members = append(members, member)
		}
		member, err := OpenRaft(RaftOptions{
			ID:               fmt.Sprint(i),
			Listener:         listeners[i],
			Members:          members,
			LogOutput:        io.Discard,
			HeartbeatTimeout: 200 * time.Millisecond,
		})
		require.NoError(t, err)
		t.Cleanup(func() { require.NoError(t, member.Close()) })
		l.members = append(l.members, member)
	}
	return l
}

// cut cuts the links between two members, or restores them.
func (l *linkedMembers) cut(i, j int, down bool) {
	l.links[i][j].cut(down)
	l.links[j][i].cut(down)
}

// written is the outcome of a write.
type written struct {
	version uint64
	err     error
}

// writeCutOff has the leader write a key while it reaches nobody, and returns once it has lost its leadership.
func (l *linkedMembers) writeCutOff(t *testing.T, leader int, between bool) <-chan written {
	t.Helper()
	first, second := (leader+1)%3, (leader+2)%3
	l.cut(leader, first, true)
	l.cut(leader, second, true)
	l.cut(first, second, between)
	outcome := make(chan written, 1)
	go func() {
		version, err := l.members[leader].Write(t.Context(), Op{Key: "batch", Data: []byte("new")})
		outcome <- written{version, err}
	}()
	require.Eventually(t, func() bool { _, leads := l.members[leader].Leadership(); return !leads }, 10*time.Second,
		time.Millisecond)
	return outcome
}

// Guards against a write that is reported as not written, and is applied all the same by the next leader: its writer
// waits until the outcome is certain. Only the former leader can be elected here, and then commits the write.
func TestWriteIsAppliedAfterLostLeadership(t *testing.T) {
	t.Parallel()
	l := openLinkedMembers(t)
	_, leader := awaitLeader(t, l.members...)
	outcome := l.writeCutOff(t, leader, true)
	l.cut(leader, (leader+1)%3, false)
	result := <-outcome
	require.NoError(t, result.err)
	require.Equal(t, Value{[]byte("new"), result.version}, l.members[leader].Get("batch"))
}

// Guards against a writer that is left without a certain outcome although another leader has replaced its write.
func TestWriteIsReplacedAfterLostLeadership(t *testing.T) {
	t.Parallel()
	l := openLinkedMembers(t)
	_, leader := awaitLeader(t, l.members...)
	outcome := l.writeCutOff(t, leader, false)
	next, _ := awaitLeader(t, l.members[(leader+1)%3], l.members[(leader+2)%3])
	_, err := next.Write(t.Context(), Op{Key: "other", Data: []byte("x")})
	require.NoError(t, err)
	l.cut(leader, (leader+1)%3, false)
	l.cut(leader, (leader+2)%3, false)
	result := <-outcome
	require.ErrorIs(t, result.err, ErrNotLeader)
	require.True(t, NotApplied(result.err))
	applied := func() bool { return l.members[leader].Get("other").Version > 0 }
	require.Eventually(t, applied, 10*time.Second, time.Millisecond)
	for _, member := range l.members {
		require.Zero(t, member.Get("batch"))
	}
}

// Guards against a write of an unknown outcome that is reported as not written: the member stays cut off.
func TestWriteOfUnknownOutcome(t *testing.T) {
	t.Parallel()
	l := openLinkedMembers(t)
	_, leader := awaitLeader(t, l.members...)
	result := <-l.writeCutOff(t, leader, true)
	require.ErrorIs(t, result.err, ErrUnknownOutcome)
	require.False(t, NotApplied(result.err))
}

// Guards against a history that grows with the log, or that gives a write the result of another entry.
func TestResultHistoryIsBounded(t *testing.T) {
	t.Parallel()
	h := newResultHistory()
	const last = 3 * retainedResults
	for index := uint64(1); index <= last; index += 2 { // entries without a command have no result
		h.add(index, applyResult{version: index})
	}
	for index := uint64(1); index <= last; index++ {
		result, ok := h.get(index)
		require.Equal(t, index%2 == 1 && index > last-retainedResults, ok, index)
		if ok {
			require.Equal(t, index, result.version)
		}
	}
}
