package testpeer

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"standpoint"
	"standpoint/internal/node"
)

// SystemCall is a system call that Faults can make fail.
type SystemCall int

// The system calls that Faults can make fail.
const (
	Accept SystemCall = iota
	Connect
	Read
	Write
	systemCallCount // the number of the system calls above
)

// ResourceErrors are the errors of system calls that lack a resource: file descriptors, memory, buffers or ports.
var ResourceErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
}

// Faults makes system calls fail with the kernel's errors: the next n calls, all calls for a duration, or a random
// fraction of them. It is safe for concurrent use.
type Faults struct {
	// SingleByteReads makes each read return a single byte. It must be set before Faults is used.
	SingleByteReads bool

	mu       sync.Mutex // guards all below
	rng      *rand.Rand
	plans    [systemCallCount]failurePlan
	failures [systemCallCount]int // calls that have failed
}

// failurePlan determines which of the next uses of a system call fail, and with which error: those that any of
// remaining, until and fraction selects. With the zero value none fails.
type failurePlan struct {
	errnos    []syscall.Errno // the error is drawn from these
	remaining int             // the number of next uses that fail
	until     time.Time       // all uses before this moment fail
	fraction  float64         // the probability that a use fails, 0 to 1
}

// NewFaults creates a Faults that makes nothing fail yet. The seed determines its random draws.
func NewFaults(seed uint64) *Faults { return &Faults{rng: rand.New(rand.NewPCG(seed, 1))} }

// FailNext makes the next n uses of a system call fail with errno.
func (f *Faults) FailNext(call SystemCall, errno syscall.Errno, n int) {
	f.set(call, failurePlan{errnos: []syscall.Errno{errno}, remaining: n})
}

// FailFor makes all uses of a system call fail with errno for the given duration.
func (f *Faults) FailFor(call SystemCall, errno syscall.Errno, duration time.Duration) {
	f.set(call, failurePlan{errnos: []syscall.Errno{errno}, until: time.Now().Add(duration)})
}

// FailFraction makes a random fraction of the uses of a system call fail from now on, with errors drawn from errnos.
func (f *Faults) FailFraction(call SystemCall, fraction float64, errnos ...syscall.Errno) {
	f.set(call, failurePlan{errnos: errnos, fraction: fraction})
}

// Stop ends all failures: no use of a system call fails from now on.
func (f *Faults) Stop() {
	for call := range systemCallCount {
		f.set(call, failurePlan{})
	}
}

// Failed returns the number of uses of a system call that Faults has made fail.
func (f *Faults) Failed(call SystemCall) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failures[call]
}

func (f *Faults) set(call SystemCall, plan failurePlan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plans[call] = plan
}

// fail decides on a system call that is about to be made. It returns the error to fail it with, or nil if the call is
// to be made.
func (f *Faults) fail(call SystemCall, name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	plan := &f.plans[call]
	if plan.remaining == 0 && !time.Now().Before(plan.until) && !(plan.fraction > f.rng.Float64()) {
		return nil
	}
	plan.remaining = max(0, plan.remaining-1)
	f.failures[call]++
	errno := plan.errnos[f.rng.IntN(len(plan.errnos))]
	return &net.OpError{Op: name, Net: "tcp", Err: os.NewSyscallError(name, errno)}
}

// Listener wraps a listener so that its accepts and the reads and writes of its connections can fail.
func (f *Faults) Listener(l net.Listener) net.Listener { return &faultyListener{l, f} }

type faultyListener struct {
	net.Listener
	faults *Faults
}

// Accept implements net.Listener. Like accept4 it may fail while a connection is in the queue, which stays there.
func (l *faultyListener) Accept() (net.Conn, error) {
	if err := l.faults.fail(Accept, "accept4"); err != nil {
		return nil, err
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.faults.Conn(conn), nil
}

// StartFaulty is StartLogged for a node whose system calls fail as faults determines.
func StartFaulty(t testing.TB, log *zap.Logger, faults *Faults, settings standpoint.Settings,
	endpoints ...node.Endpoint) *Node {
	t.Helper()
	return start(t, startOptions{
		log: log, listen: faults.Listener, dial: faults.Dial, settings: settings, endpoints: endpoints,
	})
}

// Dial is a DialFunc whose connects can fail, as can the reads and writes of its connections.
func (f *Faults) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := f.fail(Connect, "connect"); err != nil {
		return nil, err
	}
	conn, err := (&net.Dialer{Timeout: 100 * time.Millisecond}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return f.Conn(conn), nil
}

// Conn wraps a TCP connection so that its reads and writes can fail.
func (f *Faults) Conn(conn net.Conn) net.Conn { return &faultyConn{conn.(*net.TCPConn), f} }

type faultyConn struct {
	*net.TCPConn
	faults *Faults
}

// Read implements net.Conn.
func (c *faultyConn) Read(b []byte) (int, error) {
	if c.faults.SingleByteReads && len(b) > 1 {
		b = b[:1]
	}
	if err := c.faults.fail(Read, "read"); err != nil {
		return 0, err
	}
	return c.TCPConn.Read(b)
}

// Write implements net.Conn.
func (c *faultyConn) Write(b []byte) (int, error) {
	if err := c.faults.fail(Write, "write"); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(b)
}
