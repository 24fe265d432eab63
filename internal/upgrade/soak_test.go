package upgrade_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"standpoint/internal/testpeer"
	"standpoint/internal/testpeer/crowd"
	"standpoint/internal/testpeer/upgrade"
)

var (
	upgradeSeeds = flag.Int("upgrade-seeds", 6, "number of seeds that TestUpgradeSoak plays")
	upgradeFirst = flag.Uint64("upgrade-first-seed", 1, "first of these seeds")
	// upgradeProgram is for playing the same seeds with an earlier version.
	upgradeProgram = flag.String("upgrade-program", "", "path of the program to play; empty to build it")
)

const (
	soakServers  = 4
	soakClients  = 12
	soakTimeout  = 2500 * time.Millisecond // for the first event of a request
	maxAttempts  = 3                       // for each request, by the settings
	soakLead     = time.Second             // of traffic before the first upgrade
	crowdClients = 150                     // misbehaving clients in the runs that have a crowd
	// minSilence is the time after the last event that a backend wrote before which no stream may be broken off where
	// clients do not ask for the rest.
	minSilence = 4 * time.Second
	// forwardTime is the time within which an event has to be forwarded.
	forwardTime = 300 * time.Millisecond
)

// upgradeSlots bounds the nodes that are upgraded at once.
var upgradeSlots = make(chan struct{}, 3)

// TestUpgradeSoak guards against clients that are left waiting and streams that are cut off while they go over upgrades
// in series, with backends that hang, clients that stall or leave, and kills at the earliest time. Each seed is another
// schedule; more are played with: go test ./internal/upgrade -run TestUpgradeSoak -args -upgrade-seeds 50.
func TestUpgradeSoak(t *testing.T) {
	t.Parallel()
	program := *upgradeProgram
	if program == "" {
		program = testpeer.Build(t)
	}
	for i := range *upgradeSeeds {
		seed := *upgradeFirst + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			upgradeSlots <- struct{}{}
			defer func() { <-upgradeSlots }()
			(&upgradeSoak{
				t:       t,
				program: program,
				rng:     rand.New(rand.NewPCG(seed, 63)),
				seed:    seed,
			}).play()
		})
	}
}

// upgradeSoak is the run of one seed.
type upgradeSoak struct {
	t       *testing.T
	program string
	seed    uint64
	rng     *rand.Rand // used by the goroutine of the test alone
	resume  bool       // clients ask for the rest of a stream that broke
	node    *upgrade.Node
	servers []*upgrade.Server

	mu        sync.Mutex // guards the fields below
	results   []upgrade.Result
	processes []*upgrade.Process
}

func (s *upgradeSoak) play() {
	var addresses []string
	for range soakServers {
		server := upgrade.NewServer(s.t)
		s.servers = append(s.servers, server)
		addresses = append(addresses, server.Address)
	}
	s.resume = s.rng.IntN(2) == 0
	s.node = upgrade.NewNode(s.t, map[string]any{"familyInfo": map[string]any{"resume": s.resume}}, addresses...)
	serving := s.start()
	ctx, endTraffic := context.WithCancel(s.t.Context())
	defer endTraffic()
	var clients, others sync.WaitGroup
	for i := range soakClients {
		draws := rand.New(rand.NewPCG(s.seed, uint64(1000+i)))
		clients.Go(func() { s.runClient(ctx, fmt.Sprintf("s%d-c%d", s.seed, i), draws) })
	}
	for i, server := range s.servers {
		draws := rand.New(rand.NewPCG(s.seed, uint64(2000+i)))
		others.Go(func() { runServer(ctx, server, draws) })
	}
	if s.rng.IntN(4) == 0 {
		load := crowd.Draw(s.node.Address, s.seed, s.rng)
		load.Connections = crowdClients
		s.t.Logf("crowd: %s", crowd.Names(load.Behaviors))
		others.Go(func() { load.Run(ctx) })
	}
	time.Sleep(soakLead)
	for range 2 + s.rng.IntN(3) {
		serving = s.upgrade(serving, &others)
		time.Sleep(time.Duration(s.rng.IntN(6000)) * time.Millisecond)
	}
	endTraffic()
	for _, server := range s.servers {
		server.SetHang(upgrade.Running)
	}
	clients.Wait()
	others.Wait()
	s.judge()
}

// start starts a process of the node.
func (s *upgradeSoak) start() *upgrade.Process {
	s.t.Helper()
	process := s.node.Start(s.program)
	s.processes = append(s.processes, process)
	return process
}

// upgrade replaces the serving process, with further signals on some draws.
func (s *upgradeSoak) upgrade(serving *upgrade.Process, others *sync.WaitGroup) *upgrade.Process {
	s.t.Helper()
	next := s.start()
	signal := func(p *upgrade.Process, sig syscall.Signal) {
		_ = p.Process.Process.Signal(sig) // fails only if the process has ended
	}
	if s.rng.IntN(3) == 0 {
		signal(serving, syscall.SIGHUP)
		signal(next, syscall.SIGHUP)
	}
	time.Sleep(time.Duration(s.rng.IntN(1500)) * time.Millisecond)
	signal(serving, syscall.SIGTERM)
	again := time.Duration(s.rng.IntN(3000)) * time.Millisecond
	if s.rng.IntN(3) == 0 {
		time.AfterFunc(again, func() { signal(serving, syscall.SIGTERM) })
	}
	if s.rng.IntN(4) == 0 {
		heldUpAt, heldUp := 1500+s.rng.IntN(600), s.rng.IntN(500)
		others.Go(func() {
			time.Sleep(time.Duration(heldUpAt) * time.Millisecond)
			next.HoldUp(time.Duration(heldUp) * time.Millisecond)
		})
	}
	others.Go(func() { serving.AwaitKill(upgrade.EarliestKill) })
	return next
}

// runServer makes a backend hang at times, for up to 12 s.
func runServer(ctx context.Context, server *upgrade.Server, draws *rand.Rand) {
	wait := func(duration time.Duration) bool {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(duration):
			return true
		}
	}
	for wait(time.Duration(1000+draws.IntN(6000)) * time.Millisecond) {
		hang := []upgrade.Hang{upgrade.BetweenEvents, upgrade.WithinEvent, upgrade.Comments}[draws.IntN(3)]
		server.SetHang(hang)
		if !wait(time.Duration(300+draws.IntN(11_700)) * time.Millisecond) {
			return
		}
		server.SetHang(upgrade.Running)
	}
}

// runClient sends one request after another, some of which it stalls or leaves.
func (s *upgradeSoak) runClient(ctx context.Context, name string, draws *rand.Rand) {
	client := &upgrade.Client{Address: s.node.Address, Connections: &http.Transport{}}
	defer client.Connections.CloseIdleConnections()
	again := false
	for i := 0; ctx.Err() == nil; i++ {
		request := upgrade.Request{
			ID:      fmt.Sprintf("%s-%d", name, i),
			Timeout: soakTimeout,
			Again:   again,
			Answer: upgrade.Answer{
				Delay:  time.Duration(draws.IntN(300)) * time.Millisecond,
				Events: 1 + draws.IntN(100),
				Pause:  time.Duration(20+draws.IntN(100)) * time.Millisecond,
			},
		}
		requestContext, leave := context.WithCancel(context.Background()) // requests end after the traffic has
		leaves := draws.IntN(10) == 0
		switch {
		case leaves:
			time.AfterFunc(time.Duration(draws.IntN(3000))*time.Millisecond, leave)
		case draws.IntN(10) == 0:
			request.Stall = time.Duration(500+draws.IntN(2000)) * time.Millisecond
		}
		result := client.Do(requestContext, request)
		left := leaves && requestContext.Err() != nil
		leave()
		if !left && request.Stall == 0 {
			s.mu.Lock()
			s.results = append(s.results, result)
			s.mu.Unlock()
		}
		again = s.resume && result.Broken()
		time.Sleep(time.Duration(draws.IntN(200)) * time.Millisecond)
	}
}

// silentFor returns for how long the backend of a request had written no event as its stream ended. An event that was
// written within the time for forwarding it may have crossed the end.
func (s *upgradeSoak) silentFor(result upgrade.Result) time.Duration {
	var last time.Time
	for _, server := range s.servers {
		if at := server.LastEvent(result.ID, result.Ended.Add(-forwardTime)); at.After(last) {
			last = at
		}
	}
	return result.Ended.Sub(last)
}

// attempts returns how often a request has arrived at the backends.
func (s *upgradeSoak) attempts(id string) (total int) {
	for _, server := range s.servers {
		total += server.Attempts(id)
	}
	return total
}

// judge fails the test if a client was left waiting, if a stream was cut off while its backend wrote, if a request was
// sent too often, or if a process left its limits.
func (s *upgradeSoak) judge() {
	s.t.Helper()
	var complete, broken, refused int
	for _, result := range s.results {
		if s.attempts(result.ID) > maxAttempts {
			s.t.Errorf("sent %d times: %s", s.attempts(result.ID), result)
		}
		switch {
		case result.GaveUp:
			s.t.Errorf("left waiting: %s", result)
		case result.Broken() && !s.resume && s.silentFor(result) < minSilence:
			s.t.Errorf("cut off %v after its backend wrote: %s", s.silentFor(result), result)
		case result.Status == 0:
			s.t.Errorf("no answer: %s", result)
		case result.Complete:
			complete++
		case result.Broken():
			broken++
		default:
			refused++
		}
	}
	s.t.Logf("resume %v, %d processes: %d complete, %d broken, %d refused or failed", s.resume, len(s.processes), complete,
		broken, refused)
	for i, process := range s.processes {
		require.False(s.t, process.OverMemory(), "memory limit exceeded by process %d", i)
		if s.t.Failed() {
			s.t.Logf("log of process %d:\n%s", i, process.Log.String())
		}
	}
	require.Positive(s.t, complete)
}
