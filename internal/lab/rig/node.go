package rig

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"standpoint/internal/control"
	"standpoint/internal/fleet"
	"standpoint/internal/fleet/ledger/replication"
)

// Node is one node: its file, and its process while it has one.
type Node struct {
	Name, Front, Control string
	program              string
	file                 string
	log                  string

	rig     *Rig
	mu      sync.Mutex
	process *exec.Cmd
	ended   chan error // of the process
	out     *os.File
	stalled bool
	killed  bool // the rig killed it
}

// Start starts the node's process.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return nil
	}
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(n.program, "serve", "--config", n.file)
	c.Stdout = out
	c.Stderr = out
	if err := c.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	n.process = c
	n.ended = make(chan error, 1)
	n.out = out
	n.stalled = false
	n.killed = false
	go func(ended chan error) { ended <- c.Wait() }(n.ended)
	return nil
}

// Kill ends it at once.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	n.killed = true
	_ = n.process.Process.Kill()
	n.rig.Log("%s ended by a kill: %v", n.Name, <-n.ended)
	_ = n.out.Close()
	n.process = nil
}

// Stall stops it for a while, as a machine does that has other things to do; or has it go on.
func (n *Node) Stall(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || n.stalled == on {
		return
	}
	sign := syscall.SIGCONT
	if on {
		sign = syscall.SIGSTOP
	}
	n.stalled = on
	_ = n.process.Process.Signal(sign)
}

// Up tells whether it has a process that is not stalled.
func (n *Node) Up() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process != nil && !n.stalled
}

// Died is how its process ended, if it has, unasked.
func (n *Node) Died() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return nil
	}
	select {
	case err := <-n.ended:
		n.ended <- err
		return fmt.Errorf("%s ended by itself: %v\n%s", n.Name, err, logTail(n.log))
	default:
		return nil
	}
}

func logTail(path string) string {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(raw[max(0, len(raw)-4000):])
}

// Status asks the node how it stands to its fleet.
func (n *Node) Status(ctx context.Context) (fleet.Status, error) {
	c := control.NewClient(n.Control, controlToken)
	defer c.Close()
	var s fleet.Status
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return s, c.Call(ctx, http.MethodGet, "/v1/fleet", nil, &s)
}

// Ledger asks the node how its ledger stands.
func (n *Node) Ledger(ctx context.Context) (replication.Status, error) {
	c := control.NewClient(n.Control, controlToken)
	defer c.Close()
	var s replication.Status
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return s, c.Call(ctx, http.MethodGet, "/v1/ledger", nil, &s)
}
