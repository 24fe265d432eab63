package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

const (
	// applyTimeout bounds the wait until a write or a barrier is accepted, and each read or write of the transport.
	applyTimeout       = 5 * time.Second
	retainedSnapshots  = 2 // snapshots that remain on disk
	connectionPoolSize = 3 // idle connections per other member
	// snapshotThreshold is the number of new log entries after which a snapshot is taken, and trailingLogs the number
	// of entries that remain in the log after a snapshot. A migration's record is about 10 KB and is written every few
	// seconds: the library's default of 10,240 trailing entries would take 100 MB.
	snapshotThreshold = 2048
	trailingLogs      = 1024
)

// Member is one member of the replicated store.
type Member struct {
	ID      string
	Address string // the member's address in the replicated configuration
	// DialAddress is the address to dial instead of Address, if set. It may differ between members, for example if they
	// connect through a relay.
	DialAddress string
}

// RaftOptions configure one member.
type RaftOptions struct {
	ID            string
	ListenAddress string // address of this member's listener
	Dir           string // directory of the log and the snapshots; "" stores them in memory
	// Members are all members, including this one. The first start writes them to the replicated configuration; later
	// starts use only their DialAddress.
	Members []Member
	// Listener, if set, is used instead of a new listener on ListenAddress.
	Listener  net.Listener
	LogOutput io.Writer // destination of the raft library's log; nil means os.Stderr
	// HeartbeatTimeout is the heartbeat and election timeout; the leader lease and commit timeouts are derived from it.
	// 0 means the raft library's defaults for all of them.
	HeartbeatTimeout time.Duration
}

// Raft replicates the keys among the members of a deployment. It implements Store.
type Raft struct {
	*keyspace
	raft             *raft.Raft
	storage          *storage
	leaderTerm       atomic.Uint64 // term in which this member leads and has applied all earlier entries; 0 otherwise
	bytesSent        *atomic.Int64 // bytes written to other members
	lastIndexAtStart uint64        // index of the last write in the log, but in no snapshot, at start-up; 0 if none
	appliedIndex     atomic.Uint64 // index of the last log entry included in the keys
	results          *resultHistory

	closed     chan struct{} // stops trackLeadership when closed
	background sync.WaitGroup
}

// OpenRaft starts this member. Close stops it.
func OpenRaft(o RaftOptions) (*Raft, error) {
	if o.LogOutput == nil {
		o.LogOutput = os.Stderr
	}
	listener, err := o.listen()
	if err != nil {
		return nil, fmt.Errorf("store.listen: %w", err)
	}
	r := &Raft{
		keyspace:  newKeyspace(),
		bytesSent: &atomic.Int64{},
		results:   newResultHistory(),
		closed:    make(chan struct{}),
	}
	layer := countingStreamLayer{Listener: listener, bytesWritten: r.bytesSent, dialAddresses: o.dialAddresses()}
	transport := raft.NewNetworkTransport(layer, connectionPoolSize, applyTimeout, o.LogOutput)
	if err := r.start(o, transport); err != nil {
		_ = transport.Close() // the error of start takes precedence
		return nil, fmt.Errorf("store: %w", err)
	}
	r.background.Go(r.trackLeadership)
	return r, nil
}

func (o *RaftOptions) listen() (net.Listener, error) {
	if o.Listener != nil {
		return o.Listener, nil
	}
	return net.Listen("tcp", o.ListenAddress)
}

// dialAddresses returns the addresses to dial for the members that have a DialAddress, by their Address.
func (o *RaftOptions) dialAddresses() map[string]string {
	addresses := map[string]string{}
	for _, m := range o.Members {
		if m.DialAddress != "" {
			addresses[m.Address] = m.DialAddress
		}
	}
	return addresses
}

// config returns the configuration of the raft library.
func (o *RaftOptions) config() *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(o.ID)
	config.LogOutput = o.LogOutput
	config.LogLevel = "WARN"
	config.SnapshotThreshold = snapshotThreshold
	config.TrailingLogs = trailingLogs
	if o.HeartbeatTimeout > 0 {
		config.HeartbeatTimeout = o.HeartbeatTimeout
		config.ElectionTimeout = o.HeartbeatTimeout
		config.LeaderLeaseTimeout = o.HeartbeatTimeout / 2
		config.CommitTimeout = o.HeartbeatTimeout / 10
	}
	return config
}

// configuration returns the members in the form in which the first start writes them to the log.
func (o *RaftOptions) configuration() raft.Configuration {
	var c raft.Configuration
	for _, m := range o.Members {
		c.Servers = append(c.Servers, raft.Server{ID: raft.ServerID(m.ID), Address: raft.ServerAddress(m.Address)})
	}
	return c
}

// start opens the storage and starts the raft library on it. On error, both are closed again.
func (r *Raft) start(options RaftOptions, transport raft.Transport) (err error) {
	if options.Dir == "" {
		r.storage = memoryStorage()
	} else if r.storage, err = openDirectory(options); err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = r.storage.close() // the error that is returned takes precedence
		}
	}()
	log, stable, snapshots := r.storage.log, r.storage.stable, r.storage.snapshots
	restarted, err := raft.HasExistingState(log, stable, snapshots)
	if err != nil {
		return err
	}
	fsm := stateMachine{r.keyspace, &r.appliedIndex, r.results}
	if r.raft, err = raft.NewRaft(options.config(), fsm, log, stable, snapshots, transport); err != nil {
		return err
	}
	if restarted {
		r.lastIndexAtStart = r.storage.lastCommandIndex()
		return nil
	}
	if err := r.raft.BootstrapCluster(options.configuration()).Error(); err != nil {
		_ = r.raft.Shutdown().Error() // the error that is returned takes precedence
		return err
	}
	return nil
}

// trackLeadership updates leaderTerm on each change of leadership until the member is closed.
func (r *Raft) trackLeadership() {
	for {
		select {
		case <-r.closed:
			return
		case leads := <-r.raft.LeaderCh():
			r.leaderTerm.Store(0)
			if leads {
				r.takeLeadership()
			}
		}
	}
}

// takeLeadership sets leaderTerm once a barrier has confirmed that all entries committed before this member's election
// are applied here. Only then do reads at this member return all writes of earlier leaders.
func (r *Raft) takeLeadership() {
	for r.raft.State() == raft.Leader {
		if r.raft.Barrier(applyTimeout).Error() != nil {
			continue // the barrier's timeout paces the retries; the loop ends when this member loses leadership
		}
		term, _ := strconv.ParseUint(r.raft.Stats()["term"], 10, 64) // the library writes it as a decimal number
		r.leaderTerm.Store(term)
		return
	}
}

// Leadership implements Store.
func (r *Raft) Leadership() (term uint64, leads bool) {
	term = r.leaderTerm.Load()
	return term, term != 0 && r.raft.State() == raft.Leader
}

// CaughtUp reports whether a leader is known and this member has applied at least all writes that were on its disk at
// start-up. A leader that could not reach this member for a long time may take seconds to send it the first entry.
func (r *Raft) CaughtUp() bool {
	return r.Leader() != "" && r.appliedIndex.Load() >= r.lastIndexAtStart
}

// Leader implements Store.
func (r *Raft) Leader() string {
	_, id := r.raft.LeaderWithID()
	return string(id)
}

// Write implements Store. It returns once the write is applied at this member. A write that is in the log cannot be
// withdrawn: ctx is checked before the write begins, and bounds the wait for its outcome if this member loses its
// leadership meanwhile.
func (r *Raft) Write(ctx context.Context, ops ...Op) (uint64, error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	if _, leads := r.Leadership(); !leads {
		return 0, ErrNotLeader
	}
	raw, err := json.Marshal(ops)
	if err != nil {
		return 0, err
	}
	future := r.raft.Apply(raw, applyTimeout)
	switch err := future.Error(); {
	case err == nil:
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrEnqueueTimeout),
		errors.Is(err, raft.ErrLeadershipLost) && future.Index() == 0: // the write never was in the log
		return 0, fmt.Errorf("%w: %w", ErrNotLeader, err)
	case errors.Is(err, raft.ErrLeadershipLost):
		return r.resolve(ctx, future.Index(), raw)
	default:
		return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	result := future.Response().(applyResult)
	return result.version, result.err
}

// BytesSent returns the number of bytes that this member has written to other members.
func (r *Raft) BytesSent() int64 { return r.bytesSent.Load() }

// Close stops this member and its goroutines, and closes the storage. It must be called exactly once.
func (r *Raft) Close() error {
	close(r.closed)
	err := r.raft.Shutdown().Error()
	r.background.Wait()
	return errors.Join(err, r.storage.close())
}
