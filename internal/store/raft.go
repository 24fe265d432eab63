package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
)

const (
	applyTimeout       = 5 * time.Second
	retainedSnapshots  = 2
	connectionPoolSize = 3
)

// Member is one member of the replicated store. ID names it, Address is where the others reach it.
// Reach, if not "", is where this member reaches it: members behind a relay need not agree on that.
type Member struct{ ID, Address, DialAddress string }

// RaftOptions say which member this is.
type RaftOptions struct {
	ID            string
	ListenAddress string   // address of this member's listener
	Dir           string   // "" keeps the log in memory
	Members       []Member // all of them, this one included
	// Listener, if set, is used in place of a new one at Listen.
	Listener  net.Listener
	LogOutput io.Writer
	// HeartbeatTimeout shortens the library's timeouts; 0 leaves its defaults.
	HeartbeatTimeout time.Duration
}

// Raft replicates the keys among the members of an operator's deployment.
type Raft struct {
	*keyspace
	raft             *raft.Raft
	leaderTerm       atomic.Uint64 // of the leadership under which all earlier entries are known to be applied; 0: none
	logStore         *boltdb.BoltStore
	lockFile         *os.File // held while the folder is this member's
	bytesSent        *atomic.Int64
	closed           chan struct{}
	lastIndexAtStart uint64        // the last write on disk at the start
	appliedIndex     atomic.Uint64 // the last write that the keys have
}

// countingStreamLayer is a stream layer on a listener that counts what is written, for the cost on record.
type countingStreamLayer struct {
	net.Listener
	bytesWritten  *atomic.Int64
	dialAddresses map[string]string // by address, where it is reached in its place
}

type countingConn struct {
	net.Conn
	bytesWritten *atomic.Int64
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten.Add(int64(n))
	return n, err
}

func (c countingStreamLayer) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, c.bytesWritten}, nil
}

func (c countingStreamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	to := string(address)
	if r, ok := c.dialAddresses[to]; ok {
		to = r
	}
	conn, err := net.DialTimeout("tcp", to, timeout)
	if err != nil {
		return nil, err
	}
	return countingConn{conn, c.bytesWritten}, nil
}

// OpenRaft starts this member.
func OpenRaft(o RaftOptions) (*Raft, error) {
	if o.LogOutput == nil {
		o.LogOutput = os.Stderr
	}
	listener := o.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", o.ListenAddress); err != nil {
			return nil, fmt.Errorf("store.listen: %w", err)
		}
	}
	r := &Raft{keyspace: newKeyspace(), bytesSent: &atomic.Int64{}, closed: make(chan struct{})}
	reach := map[string]string{}
	for _, m := range o.Members {
		if m.DialAddress != "" {
			reach[m.Address] = m.DialAddress
		}
	}
	transport := raft.NewNetworkTransport(countingStreamLayer{listener, r.bytesSent, reach}, connectionPoolSize, applyTimeout, o.LogOutput)
	config := raft.DefaultConfig()
	config.LocalID, config.LogOutput, config.LogLevel = raft.ServerID(o.ID), o.LogOutput, "WARN"
	// A move's record is some 10 KB and written every few seconds; the library's own 10,240 entries behind a snapshot
	// would come to 100 MB.
	config.SnapshotThreshold, config.TrailingLogs = 2048, 1024
	if o.HeartbeatTimeout > 0 {
		config.HeartbeatTimeout, config.ElectionTimeout = o.HeartbeatTimeout, o.HeartbeatTimeout
		config.LeaderLeaseTimeout = o.HeartbeatTimeout / 2
		config.CommitTimeout = o.HeartbeatTimeout / 10
	}
	var log raft.LogStore = raft.NewInmemStore()
	stable := log.(raft.StableStore)
	var snapshots raft.SnapshotStore = raft.NewInmemSnapshotStore()
	fail := func(err error) (*Raft, error) {
		_ = transport.Close()
		if r.logStore != nil {
			_ = r.logStore.Close()
		}
		_ = r.lockFile.Close()
		return nil, fmt.Errorf("store: %w", err)
	}
	if o.Dir != "" {
		if err := os.MkdirAll(o.Dir, 0o700); err != nil {
			return fail(err)
		}
		var err error
		if r.lockFile, err = lockDirectory(filepath.Join(o.Dir, "lock")); err != nil {
			return fail(err)
		}
		file := filepath.Join(o.Dir, "raft.db")
		if err := recoverFault(func() error {
			if r.logStore, err = boltdb.NewBoltStore(file); err != nil {
				return err
			}
			return verifyLog(r.logStore)
		}); err != nil {
			return fail(fmt.Errorf("%s: %w", file, err))
		}
		log, stable = r.logStore, r.logStore
		if snapshots, err = raft.NewFileSnapshotStore(o.Dir, retainedSnapshots, o.LogOutput); err != nil {
			return fail(err)
		}
	}
	known, err := raft.HasExistingState(log, stable, snapshots)
	if err != nil {
		return fail(err)
	}
	if r.raft, err = raft.NewRaft(config, stateMachine{r.keyspace, &r.appliedIndex}, log, stable, snapshots, transport); err != nil {
		return fail(err)
	}
	if known {
		r.lastIndexAtStart = lastCommandIndex(log, snapshots)
	} else {
		var all raft.Configuration
		for _, m := range o.Members {
			all.Servers = append(all.Servers, raft.Server{ID: raft.ServerID(m.ID),
				Address: raft.ServerAddress(m.Address)})
		}
		if err := r.raft.BootstrapCluster(all).Error(); err != nil {
			_ = r.raft.Shutdown().Error()
			return fail(err)
		}
	}
	go r.trackLeadership()
	return r, nil
}

// lockDirectory takes a folder for this program. The log's library would wait for another that has it, without a word.
func lockDirectory(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: another program has this store open: %w", path, err), f.Close())
	}
	return f, nil
}

// recoverFault carries a check of the log's file out. Its pages are memory of this program: where the file was cut off or
// written over the library runs into a fault or a panic, which here is an error.
func recoverFault(check func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("the file is damaged: %v", fault)
		}
	}()
	return check()
}

// verifyLog reads every entry of a log: what cannot be read is found before anything rests on it.
func verifyLog(log raft.LogStore) error {
	first, err := log.FirstIndex()
	if err != nil {
		return err
	}
	last, err := log.LastIndex()
	for at := max(first, 1); err == nil && at <= last; at++ {
		var l raft.Log
		if err = log.GetLog(at, &l); err != nil {
			err = fmt.Errorf("entry %d of the log: %w", at, err)
		}
	}
	return err
}

// lastCommandIndex is the index of the last write in the log that no snapshot holds; 0: there is none.
func lastCommandIndex(log raft.LogStore, snapshots raft.SnapshotStore) uint64 {
	first, err := log.FirstIndex()
	if err != nil {
		return 0
	}
	if all, err := snapshots.List(); err == nil && len(all) > 0 {
		first = max(first, all[0].Index+1)
	}
	last, err := log.LastIndex()
	for ; err == nil && last >= max(first, 1); last-- {
		var l raft.Log
		if err = log.GetLog(last, &l); err == nil && l.Type == raft.LogCommand {
			return last
		}
	}
	return 0
}

// trackLeadership keeps the term under which this member leads. A new leader leads for its callers only once a
// barrier has shown that everything committed before is applied here.
func (r *Raft) trackLeadership() {
	for {
		select {
		case <-r.closed:
			return
		case leads := <-r.raft.LeaderCh():
			r.leaderTerm.Store(0)
			for leads && r.raft.State() == raft.Leader {
				if r.raft.Barrier(applyTimeout).Error() == nil {
					term, _ := strconv.ParseUint(r.raft.Stats()["term"], 10, 64)
					r.leaderTerm.Store(term)
					break
				}
			}
		}
	}
}

// Leadership implements Store.
func (r *Raft) Leadership() (uint64, bool) {
	term := r.leaderTerm.Load()
	return term, term != 0 && r.raft.State() == raft.Leader
}

// CaughtUp tells that a leader is known and that this member has applied at least all that its disk held at its start.
// A leader that was without this member for long may take seconds to send it anything.
func (r *Raft) CaughtUp() bool {
	return r.Leader() != "" && r.appliedIndex.Load() >= r.lastIndexAtStart
}

// Leader implements Store.
func (r *Raft) Leader() string {
	_, id := r.raft.LeaderWithID()
	return string(id)
}

// Write implements Store.
func (r *Raft) Write(ctx context.Context, ops ...Op) (uint64, error) {
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	if _, ok := r.Leadership(); !ok {
		return 0, ErrNotLeader
	}
	raw, err := json.Marshal(ops)
	if err != nil {
		return 0, err
	}
	f := r.raft.Apply(raw, applyTimeout)
	if err := f.Error(); err != nil {
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) {
			return 0, fmt.Errorf("%w: %v", ErrNotLeader, err)
		}
		return 0, fmt.Errorf("store: %w", err)
	}
	done := f.Response().(applyResult)
	return done.version, done.err
}

// BytesSent is what this member has written to the others.
func (r *Raft) BytesSent() int64 { return r.bytesSent.Load() }

// Close stops this member.
func (r *Raft) Close() error {
	close(r.closed)
	err := r.raft.Shutdown().Error()
	if r.logStore != nil {
		err = errors.Join(err, r.logStore.Close(), r.lockFile.Close())
	}
	return err
}

type applyResult struct {
	version uint64
	err     error
}

// stateMachine applies committed entries to the keys.
type stateMachine struct {
	*keyspace
	appliedIndex *atomic.Uint64
}

func (m stateMachine) Apply(l *raft.Log) any {
	defer m.appliedIndex.Store(l.Index)
	var ops []Op
	if err := json.Unmarshal(l.Data, &ops); err != nil {
		return applyResult{err: fmt.Errorf("entry %d of the log cannot be read: %w", l.Index, err)}
	}
	version, err := m.write(ops)
	return applyResult{version, err}
}

func (m stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	raw, err := m.encode(m.appliedIndex.Load())
	return encodedSnapshot(raw), err
}

func (m stateMachine) Restore(from io.ReadCloser) error {
	defer from.Close()
	var i snapshotImage
	if err := json.NewDecoder(from).Decode(&i); err != nil {
		return fmt.Errorf("the snapshot cannot be read: %w", err)
	}
	m.restore(i)
	m.appliedIndex.Store(max(m.appliedIndex.Load(), i.Applied))
	return nil
}

type encodedSnapshot []byte

func (s encodedSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

func (encodedSnapshot) Release() {}
