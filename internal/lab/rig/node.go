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

// Node is one node of a rig: its configuration, and its process while it runs.
type Node struct {
	Name, Address, ControlAddress string // Address is the listen address for clients

	program    string // the path of the executable
	configPath string // the operator's file
	logPath    string // the file with the output of all its processes

	rig       *Rig
	mu        sync.Mutex // guards all below
	process   *exec.Cmd  // nil: none runs
	exited    chan error // receives the result of the process when it exits
	logFile   *os.File
	suspended bool
	killed    bool // the rig has killed the process
}

// Start starts the node's process, unless it is running.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return nil
	}
	logFile, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(n.program, "serve", "--config", n.configPath)
	command.Stdout = logFile
	command.Stderr = logFile
	if err := command.Start(); err != nil {
		return errors.Join(err, logFile.Close())
	}
	n.process = command
	n.exited = make(chan error, 1)
	n.logFile = logFile
	n.suspended = false
	n.killed = false
	go func(exited chan error) { exited <- command.Wait() }(n.exited)
	return nil
}

// Kill kills the node's process, if it is running, and waits for its end.
func (n *Node) Kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	n.killed = true
	_ = n.process.Process.Kill()
	n.rig.Log("%s was killed: %v", n.Name, <-n.exited)
	_ = n.logFile.Close()
	n.process = nil
}

// SetSuspended suspends the node's process, as an overloaded machine does, or resumes it.
func (n *Node) SetSuspended(suspended bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil || n.suspended == suspended {
		return
	}
	signal := syscall.SIGCONT
	if suspended {
		signal = syscall.SIGSTOP
	}
	n.suspended = suspended
	_ = n.process.Process.Signal(signal)
}

// Running reports whether the node has a process that is not suspended.
func (n *Node) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process != nil && !n.suspended
}

// UnexpectedExit returns an error if the node's process has exited without having been killed by the rig.
func (n *Node) UnexpectedExit() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return nil
	}
	select {
	case err := <-n.exited:
		n.exited <- err
		return fmt.Errorf("%s exited unexpectedly: %v\n%s", n.Name, err, logTail(n.logPath))
	default:
		return nil
	}
}

// logTail returns the last 4000 bytes of a log file, or the error of reading it.
func logTail(path string) string {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(raw[max(0, len(raw)-4000):])
}

// Status requests the fleet status from the node's control interface.
func (n *Node) Status(ctx context.Context) (fleet.Status, error) {
	client := control.NewClient(n.ControlAddress, controlToken)
	defer client.Close()
	var status fleet.Status
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return status, client.Call(ctx, http.MethodGet, "/v1/fleet", nil, &status)
}

// LedgerStatus requests the status of the ledger from the node's control interface.
func (n *Node) LedgerStatus(ctx context.Context) (replication.Status, error) {
	client := control.NewClient(n.ControlAddress, controlToken)
	defer client.Close()
	var status replication.Status
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return status, client.Call(ctx, http.MethodGet, "/v1/ledger", nil, &status)
}
