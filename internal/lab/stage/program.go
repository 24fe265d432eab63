package stage

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Program is the daemon as a child process.
type Program struct {
	Process *os.Process
	log     string
	exited  chan error
}

const stopTimeout = 20 * time.Second // time to exit after SIGTERM

// StartProgram starts the daemon with an operator file, and writes its output to a log file. The daemon has its own
// process group, so that Ctrl-C at a terminal reaches the lab tool alone, which then stops the daemon.
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

// WaitReady calls ready every 50 ms until it returns true, the daemon exits or the timeout expires.
func (p *Program) WaitReady(timeout time.Duration, ready func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		if ready() {
			return nil
		}
		select {
		case err := <-p.exited:
			p.exited <- err
			return fmt.Errorf("the daemon exited while it started, see %s: %w", p.log, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return fmt.Errorf("the daemon was not ready within %v, see %s", timeout, p.log)
}

// Stop stops the daemon with SIGTERM, and kills it if it has not exited after stopTimeout.
func (p *Program) Stop() error {
	_ = p.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.exited:
		return err
	case <-time.After(stopTimeout):
		return errors.Join(fmt.Errorf("the daemon did not exit within %v after SIGTERM", stopTimeout), p.Process.Kill())
	}
}
