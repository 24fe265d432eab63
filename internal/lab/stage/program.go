package stage

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Program is the daemon as a process of its own.
type Program struct {
	Process *os.Process
	log     string
	exited  chan error
}

const stopTimeout = 20 * time.Second // after SIGTERM

// StartProgram starts the daemon with an operator's file; what it says goes into a log. Ctrl-C at a terminal is for the
// laboratory, which then ends the daemon.
func StartProgram(program, file, log string, environment ...string) (*Program, error) {
	out, err := os.Create(log)
	if err != nil {
		return nil, err
	}
	c := exec.Command(program, "serve", "--config", file)
	c.Stdout, c.Stderr, c.Env = out, out, append(os.Environ(), environment...)
	c.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := c.Start(); err != nil {
		return nil, errors.Join(err, out.Close())
	}
	p := &Program{Process: c.Process, log: log, exited: make(chan error, 1)}
	go func() { p.exited <- errors.Join(c.Wait(), out.Close()) }()
	return p, nil
}

// WaitReady waits until ready says so, 50 ms between two questions, for a time at the most.
func (p *Program) WaitReady(timeout time.Duration, ready func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		if ready() {
			return nil
		}
		select {
		case err := <-p.exited:
			p.exited <- err
			return fmt.Errorf("the daemon ended at its start, see %s: %w", p.log, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return fmt.Errorf("the daemon did not come up within %v, see %s", timeout, p.log)
}

// Stop ends it by SIGTERM, and kills it where that is not enough.
func (p *Program) Stop() error {
	_ = p.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.exited:
		return err
	case <-time.After(stopTimeout):
		return errors.Join(fmt.Errorf("the daemon did not end within %v of SIGTERM", stopTimeout), p.Process.Kill())
	}
}
