package lab

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"standpoint/internal/migration"
)

func small(seed uint64, t Trouble) Case {
	s := Small()
	s.Seed = seed
	p := s.Plan()
	return Case{Setup: s, Plan: p, Trouble: t, Step: 2, After: 6, For: 90, Most: 240, Settle: 20}
}

// The same seed gives the same run, to the last figure.
func TestRunsAreTheSameEachTime(t *testing.T) {
	c := small(5, Trouble{Slow: 2})
	c.Trace = true
	first, second := c.Run(), c.Run()
	require.Equal(t, fmt.Sprintf("%+v", first), fmt.Sprintf("%+v", second))
	require.NotEmpty(t, first.Trace)
}

// Boxes that are all cold at full evening load take the whole traffic in the end, and none is pushed over, by three
// nodes together.
func TestColdPoolsAreNotPushedOver(t *testing.T) {
	c := small(3, Trouble{})
	c.NewCold, c.Settle, c.Step = true, 0, 99
	r := c.Run()
	require.Equal(t, migration.Done, r.State)
	require.Zero(t, r.Fell)
	require.Greater(t, r.Mean, 0.97)
}

func TestAMoveGoesBackWithinAMinute(t *testing.T) {
	for _, trouble := range []Trouble{{Name: "slow", Slow: 2}, {Name: "errors", Errors: 0.2}, {Name: "dead", Dead: true}} {
		r := small(7, trouble).Run()
		require.Equal(t, migration.Undone, r.State, trouble.Name)
		require.LessOrEqual(t, r.Back, 60.0, trouble.Name)
		require.Greater(t, r.Mean, 0.9, trouble.Name)
	}
}

// The old pool dies: its flows fall over at once, and nothing goes back to it.
func TestTheOldPoolDiesInTheMiddleOfAMove(t *testing.T) {
	c := small(11, Trouble{OldDead: true})
	c.Trace = true
	r := c.Run()
	require.NotEqual(t, migration.Undone, r.State)
	last := r.Trace[len(r.Trace)-1]
	require.GreaterOrEqual(t, last.Share, 0.5)
	_, after := service(r.Seconds, r.TroubleAt+15, r.TroubleAt+80)
	require.Greater(t, after, 0.9)
}

// Boxes that drain in the middle of a step get nothing new, and the move goes on with the rest.
func TestADrainInTheMiddleOfAStep(t *testing.T) {
	c := small(13, Trouble{Drain: 3})
	r := c.Run()
	require.Equal(t, migration.Done, r.State)
	require.Zero(t, r.LateSends, "attempts that reached a draining box 500 ms after the drain was told")
}

// A cold box appears before overloaded ones, and three nodes hear of it at different times: what they send together
// stays under what would push it over.
func TestAFreshBoxIsNotPushedOver(t *testing.T) {
	for _, r := range (FreshStudy{Runs: 4, First: 1, Nodes: 3, Old: 9, Rate: 120, Late: 0.5}).Run(t.Context()) {
		require.False(t, r.Fell)
		require.Less(t, r.Peak, 1.0)
	}
}

// Reports that come late are those that the box made then, and none comes before there is one; what each box got is
// kept by second, as long as boxes are few.
func TestLateReportsAndShares(t *testing.T) {
	w := New(Setup{Seed: 1, Nodes: 1, Rate: 20, Old: 3, ReportLate: 2})
	m := w.boxes[0]
	require.Nil(t, w.reported(m), "nothing is two seconds old yet")
	first := m.Load(w.now)
	w.Run(5)
	require.NotZero(t, m.Load(w.now).Slots+m.Load(w.now).Memory, "it works by now")
	late := w.reported(m)
	require.NotNil(t, late)
	kept := m.reports[0]
	require.LessOrEqual(t, kept.at, 3.0)
	require.Equal(t, kept.report.Memory, late.MemoryUsage)
	w.Run(30)
	require.LessOrEqual(t, len(m.reports), 8, "what is older than the newest that may come is let go of")
	require.Zero(t, first.Slots)
	sent := 0
	for _, s := range w.Seconds {
		require.Len(t, s.Boxes, 3)
		for _, n := range s.Boxes {
			sent += n
		}
	}
	require.Equal(t, w.attempts, sent)
	large := New(Setup{Seed: 1, Nodes: 1, Rate: 20, Old: sharesMost + 1})
	large.Run(2)
	require.Nil(t, large.Seconds[0].Boxes)
}

// Each box has its own name in a large fleet too: the nodes would else know a part of it, and drown that.
func TestBoxesOfALargeFleetHaveTheirOwnNames(t *testing.T) {
	w := New(Setup{Seed: 1, Nodes: 1, Rate: 1, Old: 2500})
	require.Len(t, w.byName, 2500)
	require.Equal(t, "box-007", boxName(7))
}
