package batch_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/batch"
	"standpoint/internal/node"
	"standpoint/internal/testpeer"
)

const (
	soakLines       = 250
	soakServers     = 3
	soakLineTimeout = time.Second
	// soakLongLine is the time for which one line in sixty runs; it outlasts the timeout, and others wait behind it.
	soakLongLine = 1500 * time.Millisecond
	// soakFaults is the time for which leaders depart and calls fail.
	soakFaults = 6 * time.Second
	// soakEnd is the time in which the batch must end after the last fault.
	soakEnd = 40 * time.Second
)

// soakSeeds is the number of seeds; a longer run is started by hand, with -args -takeover-seeds 50.
var soakSeeds = flag.Uint64("takeover-seeds", 2, "number of seeds of TestTakeoverSoak")

// takeoverSoak is a seeded run of a batch whose leaders depart at random moments while calls to its servers fail.
type takeoverSoak struct {
	t         *testing.T
	cluster   *cluster
	counter   *testpeer.AttemptCounter
	endpoints []node.Endpoint
	members   []*member // those that have not been killed; the first leads
	started   int       // number of members started so far

	mu       sync.Mutex // guards the fields below
	rng      *rand.Rand
	faultsOn bool
}

// draw returns a random number below n.
func (s *takeoverSoak) draw(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// fault makes one call in twelve fail while faults are on.
func (s *takeoverSoak) fault(*http.Request) testpeer.CallFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := []testpeer.CallFault{testpeer.LostCall, testpeer.LostAnswer, testpeer.ServerFault, testpeer.BadAnswer}
	if kind := s.rng.IntN(12 * len(faults)); s.faultsOn && kind < len(faults) {
		return faults[kind]
	}
	return testpeer.NoFault
}

// startMember starts a further member.
func (s *takeoverSoak) startMember() {
	s.started++
	edit := func(o *batch.Options) {
		o.LineTimeout = soakLineTimeout
		o.MaxConcurrentLines = 12
		o.MaxAttempts = 100
	}
	s.members = append(s.members, startMemberWith(s.t, s.cluster, s.started, edit, s.endpoints...))
}

// depart makes the leader depart in a random way, and the next member leads.
func (s *takeoverSoak) depart() {
	leader := s.members[0]
	s.members = append(s.members[1:], leader)
	switch s.draw(4) {
	case 0: // killed, and replaced
		leader.gate.kill()
		s.members = s.members[:len(s.members)-1]
		s.startMember()
	case 1: // stalled for less than an attempt may take
		leader.gate.setStalled(true)
		stall := time.Duration(s.draw(600)) * time.Millisecond
		time.AfterFunc(stall, func() { leader.gate.setStalled(false) })
	case 2: // elected again
		s.cluster.elect(0)
		time.Sleep(time.Duration(s.draw(100)) * time.Millisecond)
		s.members = append([]*member{leader}, s.members[:len(s.members)-1]...)
	}
	s.cluster.elect(s.members[0].number)
}

// Guards against orders of departures and faults that no other test has: each line gets its one result, has no two
// attempts in flight at once, and the batch ends.
func TestTakeoverSoak(t *testing.T) {
	t.Parallel()
	for seed := range *soakSeeds {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) {
			t.Parallel()
			s := &takeoverSoak{t: t, cluster: newCluster(), counter: testpeer.NewAttemptCounter(),
				rng: rand.New(rand.NewPCG(seed, soakLines)), faultsOn: true}
			run := func(string, int) int {
				if s.draw(60) == 0 {
					time.Sleep(soakLongLine)
				}
				time.Sleep(time.Duration(s.draw(60)) * time.Millisecond)
				return http.StatusOK
			}
			for i := range soakServers {
				server := testpeer.NewBatchBackend(t, s.counter, run)
				server.SetFault(s.fault)
				s.endpoints = append(s.endpoints, batchEndpoint(fmt.Sprint("b", i), server))
			}
			s.endpoints = append(s.endpoints, testpeer.Endpoint("s", streamingBackend(t, s.counter, succeed)))
			for range 3 {
				s.startMember()
			}
			id := s.members[0].submit(inputLines(soakLines), "1h").ID
			reader := s.members[0] // all members read the same keys
			for began := time.Now(); time.Since(began) < soakFaults; {
				time.Sleep(time.Duration(50+s.draw(600)) * time.Millisecond)
				s.depart()
			}
			s.mu.Lock()
			s.faultsOn = false
			s.mu.Unlock()
			b := reader.wait(id, soakEnd)
			served, _ := reader.results(b.OutputFileID)
			failed, _ := reader.results(b.ErrorFileID)
			t.Logf("%d lines served, %d failed, %d attempts, %d leaders", len(served), len(failed), s.counter.Total(),
				s.cluster.term)
			for id, line := range failed {
				t.Logf("%s failed: %+v", id, *line.Error)
			}
			require.Len(t, served, soakLines)
			require.Equal(t, batch.RequestCounts{Total: soakLines, Completed: soakLines}, b.RequestCounts)
			require.Equal(t, 1, s.counter.MaximumInFlight(), "no line may have two attempts in flight")
			require.Eventually(t, func() bool { return len(s.cluster.List("submission/")) == 0 },
				soakEnd, 10*time.Millisecond, "the records of files must be deleted")
		})
	}
}
