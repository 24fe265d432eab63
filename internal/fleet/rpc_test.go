package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"github.com/stretchr/testify/require"

	"standpoint/internal/store"
)

// A call returns the result of the other node, or its rejection as a RejectedError. The error for a node that cannot
// be reached is a different one.
func TestCallMember(t *testing.T) {
	slots := freeSlots(t, "a", "b", "c")
	a, b := startNode(t, "a", slots), startNode(t, "b", slots)
	HandleOnAnyMember(b, "double", func(n int) (int, error) {
		if n < 0 {
			return 0, errors.New("negative")
		}
		return 2 * n, nil
	})
	var result int
	require.NoError(t, a.CallMember(t.Context(), "b", "double", 21, &result))
	require.Equal(t, 42, result)
	var rejected *RejectedError
	require.ErrorAs(t, a.CallMember(t.Context(), "b", "double", -1, &result), &rejected)
	require.Equal(t, RejectedError{Method: "double", Reason: "negative"}, *rejected)
	err := a.CallMember(t.Context(), "c", "double", 1, &result)
	require.ErrorIs(t, err, ErrNoLeader)
	require.False(t, errors.As(err, &rejected))
}

// followerStore is a store whose leader is another member.
type followerStore struct {
	store.Store
	leader string
}

func (s followerStore) Leadership() (uint64, bool) { return 0, false }
func (s followerStore) Leader() string             { return s.leader }

// The store of a remote site does not know the leader of the core. The site calls a core node, whose response names
// the leader, calls that one, and remembers it.
func TestSiteFindsTheLeaderOfTheCore(t *testing.T) {
	slots := freeSlots(t, "site", "core1", "core2")
	core := func(o *Options) { o.CoreSlots = []string{"core1", "core2"} }
	follower := func(o *Options) { o.Store = followerStore{Store: o.Store, leader: "core2"} }
	for _, node := range []*Fleet{startNode(t, "core1", slots, core, follower), startNode(t, "core2", slots, core)} {
		node.HandleOnLeader("name", func(context.Context, []byte) ([]byte, error) {
			return json.Marshal(node.SlotName)
		})
	}
	// Only the follower is configured as a core node, so that the site calls it first.
	site := startNode(t, "site", slots, func(o *Options) { o.CoreSlots = []string{"core1"} })
	var name string
	require.NoError(t, site.CallLeader(t.Context(), "name", 1, &name))
	require.Equal(t, "core2", name)
	require.Equal(t, "core2", site.presumedLeader())
}
