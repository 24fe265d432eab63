package upgrade_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer"
	"standpoint/internal/testpeer/release"
	"standpoint/internal/testpeer/upgrade"
)

const (
	// upgradeStreams is the number of streams that are under way in the tests of upgrades.
	upgradeStreams = 12
	// patienceSlack is how long after its patience a client of this test may still notice the end of its stream.
	patienceSlack = 200 * time.Millisecond
)

// upgradeScene is a node with streams under way at one backend.
type upgradeScene struct {
	t       *testing.T
	program string
	node    *upgrade.Node
	server  *upgrade.Server
	process *upgrade.Process
	streams sync.WaitGroup
	// patience is that of the clients; 0 stands for upgrade.Patience.
	patience time.Duration

	mu      sync.Mutex // guards results
	results []upgrade.Result
}

// newUpgradeScene prepares a node whose clients ask for the rest of a broken stream if resume is set.
func newUpgradeScene(t *testing.T, resume bool) *upgradeScene {
	t.Helper()
	s := &upgradeScene{t: t, program: testpeer.Build(t), server: upgrade.NewServer(t)}
	settings := map[string]any{"familyInfo": map[string]any{"resume": resume}}
	s.node = upgrade.NewNode(t, settings, s.server.Address)
	return s
}

// start starts the first process of the node.
func (s *upgradeScene) start(program string) {
	s.t.Helper()
	s.process = s.node.Start(program)
}

// begin sends requests whose streams are under way when it returns.
func (s *upgradeScene) begin(answer upgrade.Answer) {
	s.t.Helper()
	for i := range upgradeStreams {
		request := upgrade.Request{ID: fmt.Sprint("stream-", i), Answer: answer, Timeout: 3 * time.Second,
			Patience: s.patience}
		s.streams.Go(func() {
			result := (&upgrade.Client{Address: s.node.Address}).Do(context.Background(), request)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.results = append(s.results, result)
		})
	}
	require.Eventually(s.t, func() bool {
		for i := range upgradeStreams {
			if !s.server.HasBegun(fmt.Sprint("stream-", i)) {
				return false
			}
		}
		return true
	}, 3*time.Second, 5*time.Millisecond)
	time.Sleep(100 * time.Millisecond) // until the first events have been forwarded
}

// upgrade starts another process and stops the one that served. It returns right after SIGTERM.
func (s *upgradeScene) upgrade() (old *upgrade.Process) {
	s.t.Helper()
	return s.replaceBy(s.node.Start(s.program))
}

// replaceBy stops the process that served, which passes its streams to the next one. It returns right after SIGTERM.
func (s *upgradeScene) replaceBy(next *upgrade.Process) (old *upgrade.Process) {
	s.t.Helper()
	old, s.process = s.process, next
	require.NoError(s.t, old.Process.Process.Signal(syscall.SIGTERM))
	s.streams.Go(func() { old.AwaitKill(upgrade.EarliestKill) })
	return old
}

// requireNobodyWaits waits for the ends of all streams, none of which may leave its client waiting.
func (s *upgradeScene) requireNobodyWaits() {
	s.t.Helper()
	s.streams.Wait()
	for _, result := range s.results {
		if result.GaveUp {
			s.t.Errorf("left waiting: %s", result)
		}
	}
	if s.t.Failed() {
		s.t.Logf("log of the last process:\n%s", s.process.Log.String())
	}
}

// longAnswer is an answer that takes longer than its upgrades.
var longAnswer = upgrade.Answer{Events: 400, Pause: 50 * time.Millisecond}

// TestSilentStreamsAcrossUpgrades guards against a wait for the next event that begins anew in each process that takes
// a stream over, so that its client is left waiting.
func TestSilentStreamsAcrossUpgrades(t *testing.T) {
	t.Parallel()
	const reported = 1900 * time.Millisecond // from the hang to SIGTERM, in the reported failures
	for name, scene := range map[string]struct {
		resume bool
		before int           // upgrades before the backend hangs
		hang   upgrade.Hang  // the backend goes on after 8 s
		silent time.Duration // from the hang to SIGTERM
		after  int           // upgrades after the one at the hang
	}{
		"taken over before, reported":   {resume: true, before: 1, hang: upgrade.BetweenEvents, silent: reported},
		"taken over before, no resumes": {before: 1, hang: upgrade.BetweenEvents, silent: reported},
		"hang before SIGTERM, resumes":  {resume: true, hang: upgrade.BetweenEvents, silent: reported},
		"hang before SIGTERM":           {hang: upgrade.BetweenEvents, silent: reported},
		"hang at SIGTERM":               {hang: upgrade.BetweenEvents},
		"hang within an event":          {hang: upgrade.WithinEvent},
		"comments":                      {hang: upgrade.Comments},
		"two upgrades":                  {hang: upgrade.BetweenEvents, after: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newUpgradeScene(t, scene.resume)
			s.start(s.program)
			s.begin(longAnswer)
			for range scene.before {
				s.upgrade()
				time.Sleep(upgrade.EarliestKill)
			}
			next := s.node.Start(s.program)
			s.server.SetHang(scene.hang)
			goOn := time.AfterFunc(8*time.Second, func() { s.server.SetHang(upgrade.Running) })
			defer goOn.Stop()
			time.Sleep(scene.silent)
			s.replaceBy(next)
			for range scene.after {
				time.Sleep(upgrade.EarliestKill)
				s.upgrade()
			}
			s.requireNobodyWaits()
		})
	}
}

// TestStreamsGoOverToAProcessThatIsHeldUp guards against streams that are cut off because the process that takes them
// over was held up for a moment when they were first passed.
func TestStreamsGoOverToAProcessThatIsHeldUp(t *testing.T) {
	t.Parallel()
	s := newUpgradeScene(t, false)
	s.start(s.program)
	s.begin(upgrade.Answer{Events: 120, Pause: 50 * time.Millisecond})
	s.upgrade()
	time.Sleep(1900 * time.Millisecond)
	s.process.HoldUp(700 * time.Millisecond)
	s.requireNobodyWaits()
	for _, result := range s.results {
		require.True(t, result.Complete, result)
	}
}

// TestStreamsEndBeforeTheirProcess guards against clients that see the end of their streams only long after the process
// that had them has ended, because the process that should have taken them over holds unread descriptors of their
// connections.
func TestStreamsEndBeforeTheirProcess(t *testing.T) {
	t.Parallel()
	s := newUpgradeScene(t, false)
	s.start(s.program)
	s.begin(longAnswer)
	old := s.upgrade()
	stopped := time.Now()
	time.Sleep(1900 * time.Millisecond)
	s.streams.Go(func() { s.process.HoldUp(4 * time.Second) })
	<-old.Ended()
	s.requireNobodyWaits()
	for _, result := range s.results {
		require.Less(t, result.Ended.Sub(stopped), upgrade.EarliestKill+patienceSlack, result)
	}
}

// TestSilentStreamsFromEarlierVersion guards against clients that are left waiting after an upgrade from a version that
// does not tell when it received the last event, and against streams that are cut off by it or by the way back.
func TestSilentStreamsFromEarlierVersion(t *testing.T) {
	t.Parallel()
	earlier := release.ProgramAt(t, release.WithoutTimes)
	t.Run("upgrade", func(t *testing.T) {
		t.Parallel()
		s := newUpgradeScene(t, false)
		s.start(earlier)
		s.begin(longAnswer)
		next := s.node.Start(s.program)
		s.server.SetHang(upgrade.BetweenEvents)
		s.replaceBy(next)
		s.requireNobodyWaits()
	})
	for name, resume := range map[string]bool{"upgrade and back": false, "upgrade and back, clients resume": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newUpgradeScene(t, resume)
			s.start(earlier)
			s.begin(upgrade.Answer{Events: 200, Pause: 50 * time.Millisecond})
			s.upgrade()
			time.Sleep(upgrade.EarliestKill)
			s.replaceBy(s.node.Start(earlier))
			s.requireNobodyWaits()
			for _, result := range s.results {
				require.True(t, result.Complete, result)
			}
		})
	}
}

// TestStopWithoutFurtherConnections guards against a stop that waits for the next connection of a client: while another
// process is started, the platform makes the socket that both listen on a blocking one.
func TestStopWithoutFurtherConnections(t *testing.T) {
	t.Parallel()
	s := newUpgradeScene(t, false)
	s.start(s.program)
	s.begin(upgrade.Answer{Events: 160, Pause: 50 * time.Millisecond})
	s.node.BlockListener()
	conn, err := net.Dial("tcp", s.node.Address) // the process accepts it, and waits in its next accept
	require.NoError(t, err)
	conn.Close()
	time.Sleep(100 * time.Millisecond)
	old := s.upgrade()
	s.requireNobodyWaits()
	for _, result := range s.results {
		require.True(t, result.Complete, result)
	}
	require.NotEmpty(t, old.LogLines("streams passed to sibling process"))
}

// maxEventWait is the time after the last event in which a stream has to end whose backend goes on writing the next one.
const maxEventWait = 10 * time.Second

// TestEventThatNeverEnds guards against a client that waits without limit for an event of which a byte comes now and
// then, also over an upgrade.
func TestEventThatNeverEnds(t *testing.T) {
	t.Parallel()
	for name, upgrades := range map[string]int{"no upgrade": 0, "an upgrade": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newUpgradeScene(t, false)
			s.start(s.program)
			s.patience = 2 * maxEventWait
			s.begin(longAnswer)
			s.server.SetHang(upgrade.Trickle)
			for range upgrades {
				s.upgrade()
			}
			s.requireNobodyWaits()
			for _, result := range s.results {
				require.Less(t, result.Ended.Sub(result.LastEvent), maxEventWait+patienceSlack, result)
			}
		})
	}
}
