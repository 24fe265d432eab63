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
	// applyTimeout bounds the wait for a write or a barrier to be accepted, and a transport's read or write.
	applyTimeout       = 5 * time.Second
	retainedSnapshots  = 2
	connectionPoolSize = 3 // idle connections to each other member
	// A migration's record is some 10 KB and written every few seconds; the library's own 10,240 entries behind a
	// snapshot would come to 100 MB.
	snapshotThreshold = 2048
	trailingLogs      = 1024
)

// Member is one member of the replicated store.
type Member struct {
	ID      string
	Address string // by which the replicated configuration names it
	// DialAddress is where this member reaches it, if not at Address: members behind a relay need not agree on that.
	DialAddress string
}

// RaftOptions configure one member.
type RaftOptions struct {
	ID            string
	ListenAddress string // of this member's listener
	Dir           string // directory of the log and the snapshots; "" keeps them in memory
	// Members are all members, this one included. A first start replicates them; later starts use their DialAddress
	// alone.
	Members []Member
	// Listener, if set, is used in place of a new one at ListenAddress.
	Listener  net.Listener
	LogOutput io.Writer // the library's log; nil is os.Stderr
	// HeartbeatTimeout, also that of elections, replaces the library's timeouts, which scale with it; 0 leaves its
	// defaults.
	HeartbeatTimeout time.Duration
}

// Raft replicates the keys among the members of a deployment. It implements Store.
type Raft struct {
	*keyspace
	raft             *raft.Raft
	storage          *storage
	leaderTerm       atomic.Uint64 // under which this member leads and has applied all earlier entries; 0: it does not
	bytesSent        *atomic.Int64
	lastIndexAtStart uint64        // of the last write that the disk held at the start
	appliedIndex     atomic.Uint64 // of the last log entry that the keys include

	closed     chan struct{} // ends trackLeadership
	background sync.WaitGroup
}

// OpenRaft starts this member. Close ends it.
func OpenRaft(o RaftOptions) (*Raft, error) {
	if o.LogOutput == nil {
		o.LogOutput = os.Stderr
	}
	listener, err := o.listen()
	if err != nil {
		return nil, fmt.Errorf("store.listen: %w", err)
	}
	r := &Raft{keyspace: newKeyspace(), bytesSent: &atomic.Int64{}, closed: make(chan struct{})}
	layer := countingStreamLayer{Listener: listener, bytesWritten: r.bytesSent, dialAddresses: o.dialAddresses()}
	transport := raft.NewNetworkTransport(layer, connectionPoolSize, applyTimeout, o.LogOutput)
	if err := r.start(o, transport); err != nil {
		_ = transport.Close() // the first error is the one to report
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

// dialAddresses returns where members are reached, by their address, where that differs.
func (o *RaftOptions) dialAddresses() map[string]string {
	addresses := map[string]string{}
	for _, m := range o.Members {
		if m.DialAddress != "" {
			addresses[m.Address] = m.DialAddress
		}
	}
	return addresses
}

// config returns the library's configuration.
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

// configuration returns the members as a first start writes them to the log.
func (o *RaftOptions) configuration() raft.Configuration {
	var c raft.Configuration
	for _, m := range o.Members {
		c.Servers = append(c.Servers, raft.Server{ID: raft.ServerID(m.ID), Address: raft.ServerAddress(m.Address)})
	}
	return c
}

// start opens the storage and runs the library on it. After an error nothing of either is left open.
func (r *Raft) start(options RaftOptions, transport raft.Transport) (err error) {
	if options.Dir == "" {
		r.storage = memoryStorage()
	} else if r.storage, err = openDirectory(options); err != nil {
		return err
	}
	defer func() {
		if err != nil {
			_ = r.storage.close() // the first error is the one to report
		}
	}()
	log, stable, snapshots := r.storage.log, r.storage.stable, r.storage.snapshots
	restarted, err := raft.HasExistingState(log, stable, snapshots)
	if err != nil {
		return err
	}
	fsm := stateMachine{r.keyspace, &r.appliedIndex}
	if r.raft, err = raft.NewRaft(options.config(), fsm, log, stable, snapshots, transport); err != nil {
		return err
	}
	if restarted {
		r.lastIndexAtStart = r.storage.lastCommandIndex()
		return nil
	}
	if err := r.raft.BootstrapCluster(options.configuration()).Error(); err != nil {
		_ = r.raft.Shutdown().Error() // the first error is the one to report
		return err
	}
	return nil
}

// trackLeadership keeps leaderTerm until the member is closed.
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

// takeLeadership sets leaderTerm once a barrier has shown that everything committed before this member was elected is
// applied here: only then do its reads show what earlier leaders wrote.
func (r *Raft) takeLeadership() {
	for r.raft.State() == raft.Leader {
		if r.raft.Barrier(applyTimeout).Error() != nil {
			continue // the barrier's own timeout paces this; leadership that was lost ends it
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

// CaughtUp reports whether a leader is known and this member has applied at least all that its disk held at its
// start. A leader that was without this member for long may take seconds to send it anything.
func (r *Raft) CaughtUp() bool {
	return r.Leader() != "" && r.appliedIndex.Load() >= r.lastIndexAtStart
}

// Leader implements Store.
func (r *Raft) Leader() string {
	_, id := r.raft.LeaderWithID()
	return string(id)
}

// Write implements Store. It returns once the write is applied here. ctx is checked before the write is begun, not
// while it is under way: a write that is in the log cannot be taken back.
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
	if err := future.Error(); err != nil {
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) {
			return 0, fmt.Errorf("%w: %v", ErrNotLeader, err)
		}
		return 0, fmt.Errorf("store: %w", err)
	}
	result := future.Response().(applyResult)
	return result.version, result.err
}

// BytesSent returns how many bytes this member has written to the others.
func (r *Raft) BytesSent() int64 { return r.bytesSent.Load() }

// Close ends this member and what runs for it. It must be called once.
func (r *Raft) Close() error {
	close(r.closed)
	err := r.raft.Shutdown().Error()
	r.background.Wait()
	return errors.Join(err, r.storage.close())
}
