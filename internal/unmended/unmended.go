// Package unmended is the shared helper for faults that are known and not mended yet. Nothing outside tests uses it.
package unmended

import (
	"runtime"
	"sync/atomic"
	"testing"
)

// Fault runs a test that shows a known fault and so must fail. One that passes is an error: the fault is mended, and
// the mark is to be taken away.
func Fault(t *testing.T, fault string, test func(testing.TB)) {
	t.Helper()
	noted := &noted{TB: t}
	done := make(chan struct{})
	go func() { // FailNow ends the goroutine that calls it
		defer close(done)
		test(noted)
	}()
	<-done
	if !noted.failed.Load() {
		t.Errorf("expected to fail, and passed; is it mended? %s", fault)
		return
	}
	t.Logf("fails as expected: %s", fault)
}

// noted is a test that keeps its failures to itself.
type noted struct {
	testing.TB
	failed atomic.Bool
}

func (n *noted) Fail()                     { n.failed.Store(true) }
func (n *noted) FailNow()                  { n.Fail(); runtime.Goexit() }
func (n *noted) Failed() bool              { return n.failed.Load() }
func (n *noted) Error(args ...any)         { n.TB.Log(args...); n.Fail() }
func (n *noted) Errorf(f string, a ...any) { n.TB.Logf(f, a...); n.Fail() }
func (n *noted) Fatal(args ...any)         { n.TB.Log(args...); n.FailNow() }
func (n *noted) Fatalf(f string, a ...any) { n.TB.Logf(f, a...); n.FailNow() }
