package overload

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer"
	"standpoint/internal/testpeer/crowd"
)

var (
	soakSeeds = flag.Int("crowd-seeds", 6, "number of seeds that TestCrowdSoak plays")
	soakFirst = flag.Uint64("crowd-first-seed", 1, "first of these seeds")
)

// earliestKill is the time from SIGTERM to SIGKILL: the longest deadline of the settings, and 0.7 s.
const earliestKill = 3*time.Second + 700*time.Millisecond

// TestCrowdSoak guards against a node that leaves its limits or a request unanswered between crowds, signals in series
// and a kill at the earliest time, up to which clients use their open connections. Each seed is another schedule; more
// are played with: go test ./internal/overload -run TestCrowdSoak -args -crowd-seeds 50.
func TestCrowdSoak(t *testing.T) {
	t.Parallel()
	program := testpeer.Build(t)
	for i := range *soakSeeds {
		seed := *soakFirst + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			crowdSlots <- struct{}{}
			defer func() { <-crowdSlots }()
			playSoak(t, program, seed)
		})
	}
}

// playSoak plays the schedule of one seed.
func playSoak(t *testing.T, program string, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 60))
	n := startCrowdNode(t, program, crowd.LeastLimits)
	ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
	defer cancel()
	phase := &crowd.NodePhase{}
	outcomes := &crowd.Outcomes{}
	var clients, misbehaving sync.WaitGroup
	for i := range goodClients {
		client := &crowd.Client{Address: n.address, Name: fmt.Sprintf("s%d-%d", seed, i), Timeout: goodTimeout,
			Pause: time.Duration(20+rng.IntN(300)) * time.Millisecond, Node: phase}
		clients.Go(func() { client.Run(ctx, outcomes) })
	}
	crowdContext, endCrowd := context.WithCancel(ctx)
	defer func() {
		endCrowd()
		misbehaving.Wait()
	}()
	if rng.IntN(3) > 0 {
		load := crowd.Draw(n.address, seed, rng)
		t.Logf("crowd of %d: %s", load.Connections, crowd.Names(load.Behaviors))
		misbehaving.Go(func() { load.Run(crowdContext) })
	}
	signalInSeries(n, rng)
	phase.Store(crowd.Stopping)
	require.NoError(t, n.Process.Process.Signal(syscall.SIGTERM))
	kill := time.After(earliestKill)
	if rng.IntN(2) == 0 {
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
		_ = n.Process.Process.Signal(syscall.SIGHUP)  // fails only if the process has ended
		_ = n.Process.Process.Signal(syscall.SIGTERM) // as above
	}
	select {
	case <-n.Ended():
		<-kill
	case <-kill:
	}
	phase.Store(crowd.Killed)
	overMemory := n.OverMemory()
	n.Process.Kill()
	clients.Wait()
	t.Logf("peak %d MiB; %s", n.PeakMB(), outcomes)
	require.False(t, overMemory, "memory limit exceeded")
	require.Empty(t, outcomes.Lost(), n.Log.String())
	require.Positive(t, outcomes.Served())
	restarted := n.restart(program)
	restarted.AwaitReady(t, n.address, 10*time.Second)
}

// signalInSeries lets the node serve for a while, and has it read its configuration again some times.
func signalInSeries(n *crowdNode, rng *rand.Rand) {
	time.Sleep(1100 * time.Millisecond) // no signal comes in the first second
	for range rng.IntN(4) {
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
		_ = n.Process.Process.Signal(syscall.SIGHUP) // fails only if the process has ended, which is checked later
	}
	time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
}
