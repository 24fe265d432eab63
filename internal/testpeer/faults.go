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

// SystemCall is a call to the system that can be made to fail.
type SystemCall int

// The calls of a node that Faults stand in front of.
const (
	Accept SystemCall = iota
	Connect
	Read
	Write
	calls
)

// Shortages are the errors that say that the machine has run out of something.
var Shortages = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL}

// Faults fail system calls as the system would: a number of the next ones, all for some time, or a share of them by a seed.
type Faults struct {
	mu              sync.Mutex
	rng             *rand.Rand
	plans           [calls]failurePlan
	SingleByteReads bool // reads bring a single byte each; set before use
	failed          [calls]int
}

// failurePlan says which of a call's next uses fail, and how.
type failurePlan struct {
	errno    []syscall.Errno
	next     int       // so many
	until    time.Time // all until then
	fraction float64   // that part of them
}

// NewFaults makes faults that fail nothing yet.
func NewFaults(seed uint64) *Faults { return &Faults{rng: rand.New(rand.NewPCG(seed, 1))} }

// FailNext has the next n uses of a call fail.
func (f *Faults) FailNext(call SystemCall, errno syscall.Errno, n int) {
	f.set(call, failurePlan{errno: []syscall.Errno{errno}, next: n})
}

// FailFor has all uses of a call fail for some time.
func (f *Faults) FailFor(call SystemCall, errno syscall.Errno, span time.Duration) {
	f.set(call, failurePlan{errno: []syscall.Errno{errno}, until: time.Now().Add(span)})
}

// FailFraction has a part of all uses of a call fail from now on, with errors drawn from those given.
func (f *Faults) FailFraction(call SystemCall, part float64, errno ...syscall.Errno) {
	f.set(call, failurePlan{errno: errno, fraction: part})
}

// Stop has nothing fail any more.
func (f *Faults) Stop() {
	for call := range calls {
		f.set(call, failurePlan{})
	}
}

// Failed is how many uses of a call have failed.
func (f *Faults) Failed(call SystemCall) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed[call]
}

func (f *Faults) set(call SystemCall, p failurePlan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plans[call] = p
}

// fail is the error of the call that is about to be made; nil: it is made.
func (f *Faults) fail(call SystemCall, name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := &f.plans[call]
	if p.next == 0 && !time.Now().Before(p.until) && !(p.fraction > f.rng.Float64()) {
		return nil
	}
	p.next = max(0, p.next-1)
	f.failed[call]++
	errno := p.errno[f.rng.IntN(len(p.errno))]
	return &net.OpError{Op: name, Net: "tcp", Err: os.NewSyscallError(name, errno)}
}

// Listener has a listener's accepts fail, and its connections' reads and writes.
func (f *Faults) Listener(l net.Listener) net.Listener { return &faultyListener{l, f} }

type faultyListener struct {
	net.Listener
	faults *Faults
}

// Accept implements net.Listener. Like the system's own it may fail with a connection waiting, which stays.
func (l *faultyListener) Accept() (net.Conn, error) {
	if err := l.faults.fail(Accept, "accept4"); err != nil {
		return nil, err
	}
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.faults.Conn(c), nil
}

// StartFaulty is Start with system calls that fail as the faults say.
func StartFaulty(t testing.TB, log *zap.Logger, f *Faults, settings standpoint.Settings, entries ...node.Endpoint) *Node {
	return start(t, log, settings, f.Listener, f.Dial, entries...)
}

// Dial is a Dial whose connects fail, and its connections' reads and writes.
func (f *Faults) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := f.fail(Connect, "connect"); err != nil {
		return nil, err
	}
	c, err := (&net.Dialer{Timeout: 100 * time.Millisecond}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return f.Conn(c), nil
}

// Conn has a connection's reads and writes fail.
func (f *Faults) Conn(c net.Conn) net.Conn { return &faultyConn{c.(*net.TCPConn), f} }

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
