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

// SystemCall is a system call that can be made to fail.
type SystemCall int

// The system calls that Faults can fail.
const (
	Accept SystemCall = iota
	Connect
	Read
	Write
	systemCalls // the number of them
)

// Shortages are the errors that tell that the machine has run out of something.
var Shortages = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
}

// Faults fails system calls as the kernel would: a number of the next ones, all for some time, or a fraction of them,
// drawn by a seed. It is safe for concurrent use.
type Faults struct {
	// SingleByteReads has each read return a single byte. It is set before use.
	SingleByteReads bool

	mu     sync.Mutex // guards all below
	rng    *rand.Rand
	plans  [systemCalls]failurePlan
	failed [systemCalls]int
}

// failurePlan is which of the next uses of a system call fail, and how. The zero value is none.
type failurePlan struct {
	errnos   []syscall.Errno // one of them is drawn
	next     int             // so many fail
	until    time.Time       // all fail until then
	fraction float64         // that fraction fails
}

// NewFaults creates faults that fail nothing yet.
func NewFaults(seed uint64) *Faults { return &Faults{rng: rand.New(rand.NewPCG(seed, 1))} }

// FailNext fails the next n uses of a system call.
func (f *Faults) FailNext(call SystemCall, errno syscall.Errno, n int) {
	f.set(call, failurePlan{errnos: []syscall.Errno{errno}, next: n})
}

// FailFor fails all uses of a system call for some time.
func (f *Faults) FailFor(call SystemCall, errno syscall.Errno, duration time.Duration) {
	f.set(call, failurePlan{errnos: []syscall.Errno{errno}, until: time.Now().Add(duration)})
}

// FailFraction fails a fraction of all uses of a system call from now on, with errors drawn from those given.
func (f *Faults) FailFraction(call SystemCall, fraction float64, errnos ...syscall.Errno) {
	f.set(call, failurePlan{errnos: errnos, fraction: fraction})
}

// Stop has nothing fail from now on.
func (f *Faults) Stop() {
	for call := range systemCalls {
		f.set(call, failurePlan{})
	}
}

// Failed returns how many uses of a system call have failed.
func (f *Faults) Failed(call SystemCall) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed[call]
}

func (f *Faults) set(call SystemCall, plan failurePlan) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.plans[call] = plan
}

// fail returns the error of a system call that is about to be made; nil if it is to be made.
func (f *Faults) fail(call SystemCall, name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	plan := &f.plans[call]
	if plan.next == 0 && !time.Now().Before(plan.until) && !(plan.fraction > f.rng.Float64()) {
		return nil
	}
	plan.next = max(0, plan.next-1)
	f.failed[call]++
	errno := plan.errnos[f.rng.IntN(len(plan.errnos))]
	return &net.OpError{Op: name, Net: "tcp", Err: os.NewSyscallError(name, errno)}
}

// Listener wraps a listener so that its accepts fail, and its connections' reads and writes.
func (f *Faults) Listener(l net.Listener) net.Listener { return &faultyListener{l, f} }

type faultyListener struct {
	net.Listener
	faults *Faults
}

// Accept implements net.Listener. Like the kernel's own it may fail with a connection in the queue, which stays there.
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

// StartFaulty is StartLogged with system calls that fail by faults.
func StartFaulty(t testing.TB, log *zap.Logger, faults *Faults, settings standpoint.Settings,
	endpoints ...node.Endpoint) *Node {
	t.Helper()
	return start(t, startOptions{
		log: log, listen: faults.Listener, dial: faults.Dial, settings: settings, endpoints: endpoints,
	})
}

// Dial is a Dial function whose connects fail, and its connections' reads and writes.
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

// Conn wraps a TCP connection so that its reads and writes fail.
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
