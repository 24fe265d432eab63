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
	applyTime     = 5 * time.Second
	snapshotsKept = 2
	poolSize      = 3
)

// Member is one member of the replicated store. ID names it, Address is where the others reach it.
// Reach, if not "", is where this member reaches it: members behind a relay need not agree on that.
type Member struct{ ID, Address, Reach string }

// RaftOptions say which member this is.
type RaftOptions struct {
	ID      string
	Listen  string   // address of this member's listener
	Dir     string   // "" keeps the log in memory
	Members []Member // all of them, this one included
	// Listener, if set, is used in place of a new one at Listen.
	Listener net.Listener
	LogTo    io.Writer
	// Heartbeat shortens the library's timeouts; 0 leaves its defaults.
	Heartbeat time.Duration
}

// Raft replicates the keys among the members of an operator's deployment.
type Raft struct {
	*keys
	raft    *raft.Raft
	term    atomic.Uint64 // of the leadership under which all earlier entries are known to be applied; 0: none
	bolt    *boltdb.BoltStore
	lock    *os.File // held while the folder is this member's
	bytes   *atomic.Int64
	done    chan struct{}
	held    uint64        // the last write on disk at the start
	applied atomic.Uint64 // the last write that the keys have
}

// counted is a stream layer on a listener that counts what is written, for the cost on record.
type counted struct {
	net.Listener
	written *atomic.Int64
	reach   map[string]string // by address, where it is reached in its place
}

type countedConn struct {
	net.Conn
	written *atomic.Int64
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

func (c counted) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, c.written}, nil
}

func (c counted) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	to := string(address)
	if r, ok := c.reach[to]; ok {
		to = r
	}
	conn, err := net.DialTimeout("tcp", to, timeout)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, c.written}, nil
}

// OpenRaft starts this member.
func OpenRaft(o RaftOptions) (*Raft, error) {
	if o.LogTo == nil {
		o.LogTo = os.Stderr
	}
	listener := o.Listener
	if listener == nil {
		var err error
		if listener, err = net.Listen("tcp", o.Listen); err != nil {
			return nil, fmt.Errorf("store.listen: %w", err)
		}
	}
	r := &Raft{keys: newKeys(), bytes: &atomic.Int64{}, done: make(chan struct{})}
	reach := map[string]string{}
	for _, m := range o.Members {
		if m.Reach != "" {
			reach[m.Address] = m.Reach
		}
	}
	transport := raft.NewNetworkTransport(counted{listener, r.bytes, reach}, poolSize, applyTime, o.LogTo)
	config := raft.DefaultConfig()
	config.LocalID, config.LogOutput, config.LogLevel = raft.ServerID(o.ID), o.LogTo, "WARN"
	// A move's record is some 10 KB and written every few seconds; the library's own 10,240 entries behind a snapshot
	// would come to 100 MB.
	config.SnapshotThreshold, config.TrailingLogs = 2048, 1024
	if o.Heartbeat > 0 {
		config.HeartbeatTimeout, config.ElectionTimeout = o.Heartbeat, o.Heartbeat
		config.LeaderLeaseTimeout = o.Heartbeat / 2
		config.CommitTimeout = o.Heartbeat / 10
	}
	var log raft.LogStore = raft.NewInmemStore()
	stable := log.(raft.StableStore)
	var snapshots raft.SnapshotStore = raft.NewInmemSnapshotStore()
	fail := func(err error) (*Raft, error) {
		_ = transport.Close()
		if r.bolt != nil {
			_ = r.bolt.Close()
		}
		_ = r.lock.Close()
		return nil, fmt.Errorf("store: %w", err)
	}
	if o.Dir != "" {
		if err := os.MkdirAll(o.Dir, 0o700); err != nil {
			return fail(err)
		}
		var err error
		if r.lock, err = alone(filepath.Join(o.Dir, "lock")); err != nil {
			return fail(err)
		}
		file := filepath.Join(o.Dir, "raft.db")
		if err := readable(func() error {
			if r.bolt, err = boltdb.NewBoltStore(file); err != nil {
				return err
			}
			return readAll(r.bolt)
		}); err != nil {
			return fail(fmt.Errorf("%s: %w", file, err))
		}
		log, stable = r.bolt, r.bolt
		if snapshots, err = raft.NewFileSnapshotStore(o.Dir, snapshotsKept, o.LogTo); err != nil {
			return fail(err)
		}
	}
	known, err := raft.HasExistingState(log, stable, snapshots)
	if err != nil {
		return fail(err)
	}
	if r.raft, err = raft.NewRaft(config, machine{r.keys, &r.applied}, log, stable, snapshots, transport); err != nil {
		return fail(err)
	}
	if known {
		r.held = lastCommand(log, snapshots)
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
	go r.follow()
	return r, nil
}

// alone takes a folder for this program. The log's library would wait for another that has it, without a word.
func alone(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: another program has this store open: %w", path, err), f.Close())
	}
	return f, nil
}

// readable carries a check of the log's file out. Its pages are memory of this program: where the file was cut off or
// written over the library runs into a fault or a panic, which here is an error.
func readable(check func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("the file is damaged: %v", fault)
		}
	}()
	return check()
}

// readAll reads every entry of a log: what cannot be read is found before anything rests on it.
func readAll(log raft.LogStore) error {
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

// lastCommand is the index of the last write in the log that no snapshot holds; 0: there is none.
func lastCommand(log raft.LogStore, snapshots raft.SnapshotStore) uint64 {
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

// follow keeps the term under which this member leads. A new leader leads for its callers only once a
// barrier has shown that everything committed before is applied here.
func (r *Raft) follow() {
	for {
		select {
		case <-r.done:
			return
		case leads := <-r.raft.LeaderCh():
			r.term.Store(0)
			for leads && r.raft.State() == raft.Leader {
				if r.raft.Barrier(applyTime).Error() == nil {
					term, _ := strconv.ParseUint(r.raft.Stats()["term"], 10, 64)
					r.term.Store(term)
					break
				}
			}
		}
	}
}

// Leads implements Store.
func (r *Raft) Leads() (uint64, bool) {
	term := r.term.Load()
	return term, term != 0 && r.raft.State() == raft.Leader
}

// CaughtUp tells that a leader is known and that this member has applied at least all that its disk held at its start.
// A leader that was without this member for long may take seconds to send it anything.
func (r *Raft) CaughtUp() bool {
	return r.Leader() != "" && r.applied.Load() >= r.held
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
	if _, ok := r.Leads(); !ok {
		return 0, ErrNotLeader
	}
	raw, err := json.Marshal(ops)
	if err != nil {
		return 0, err
	}
	f := r.raft.Apply(raw, applyTime)
	if err := f.Error(); err != nil {
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) {
			return 0, fmt.Errorf("%w: %v", ErrNotLeader, err)
		}
		return 0, fmt.Errorf("store: %w", err)
	}
	done := f.Response().(written)
	return done.version, done.err
}

// Bytes is what this member has written to the others.
func (r *Raft) Bytes() int64 { return r.bytes.Load() }

// Close stops this member.
func (r *Raft) Close() error {
	close(r.done)
	err := r.raft.Shutdown().Error()
	if r.bolt != nil {
		err = errors.Join(err, r.bolt.Close(), r.lock.Close())
	}
	return err
}

type written struct {
	version uint64
	err     error
}

// machine applies committed entries to the keys.
type machine struct {
	*keys
	at *atomic.Uint64
}

func (m machine) Apply(l *raft.Log) any {
	defer m.at.Store(l.Index)
	var ops []Op
	if err := json.Unmarshal(l.Data, &ops); err != nil {
		return written{err: fmt.Errorf("entry %d of the log cannot be read: %w", l.Index, err)}
	}
	version, err := m.write(ops)
	return written{version, err}
}

func (m machine) Snapshot() (raft.FSMSnapshot, error) {
	raw, err := m.encode(m.at.Load())
	return snapshot(raw), err
}

func (m machine) Restore(from io.ReadCloser) error {
	defer from.Close()
	var i image
	if err := json.NewDecoder(from).Decode(&i); err != nil {
		return fmt.Errorf("the snapshot cannot be read: %w", err)
	}
	m.restore(i)
	m.at.Store(max(m.at.Load(), i.Applied))
	return nil
}

type snapshot []byte

func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

func (snapshot) Release() {}
