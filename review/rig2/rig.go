// Package rig2 is what the drivers of the second review share: it starts the project's programs as separate processes,
// records what happens, and has small clients and servers that keep to the users' pages.
package rig2

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// limit is the time after which a case ends in any case; it may run for 120 s.
const limit = 116 * time.Second

// Case is one run of a case. Its methods are safe for concurrent use.
type Case struct {
	Trouble bool   // whether the disruption takes place
	Dir     string // temporary folder of the run
	Root    string // root of the repository

	ending    sync.Mutex // held by the goroutine that ends the case
	mu        sync.Mutex
	record    *os.File
	began     time.Time
	processes []*Process
	used      map[string]bool // addresses that FreeAddress has given
}

// Open begins a case. The first argument of the program is the root of the repository, the second the file to record to.
func Open() *Case {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: DRIVER ROOT RECORD")
		os.Exit(NotRun)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Root: os.Args[1], began: time.Now()}
	var err error
	if c.record, err = os.Create(os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	if c.Dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		c.Fatal("no temporary folder: %v", err)
	}
	c.Log("trouble: %v", c.Trouble)
	time.AfterFunc(limit, func() { c.Fatal("the case did not end within %v", limit) })
	return c
}

// Log writes a line to the record.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

// Elapsed returns the time since the case began.
func (c *Case) Elapsed() time.Duration { return time.Since(c.began) }

// End ends all processes of the case and the program itself.
func (c *Case) End(code int, format string, args ...any) {
	c.ending.Lock()
	text := fmt.Sprintf(format, args...)
	c.Log("verdict %d: %s", code, text)
	for _, p := range c.processes {
		p.Kill()
	}
	for _, p := range c.processes {
		p.appendLog()
	}
	_ = os.RemoveAll(c.Dir)
	fmt.Println(text)
	os.Exit(code)
}

// Fatal ends the case as one that could not run.
func (c *Case) Fatal(format string, args ...any) { c.End(NotRun, "not run: "+format, args...) }

// Write writes a file into the folder of the run: whole under another name, then renamed.
func (c *Case) Write(name, content string) string {
	path := filepath.Join(c.Dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		c.Fatal("%v", err)
	}
	if err := os.WriteFile(path+".new", []byte(content), 0o600); err != nil {
		c.Fatal("%v", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		c.Fatal("%v", err)
	}
	return path
}

// FreeAddress returns a loopback address whose port nobody uses, neither for TCP nor for UDP. It is below the ports that
// the system gives to outgoing connections.
func (c *Case) FreeAddress() string {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", 20000+mathrand.IntN(12000))
		l, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp4", address)
		l.Close()
		if err != nil {
			continue
		}
		u.Close()
		c.mu.Lock()
		taken := c.used[address]
		if c.used == nil {
			c.used = map[string]bool{}
		}
		c.used[address] = true
		c.mu.Unlock()
		if !taken {
			return address
		}
	}
	c.Fatal("no free port")
	return ""
}

// Process is a started program of the project.
type Process struct {
	c       *Case
	name    string
	command *exec.Cmd
	logPath string
	ended   chan struct{} // closed when it has ended
	state   string
	toEnd   atomic.Bool // the case has told it to end
}

// Start starts the run command of the deploy file with arguments behind it, from the root of the repository.
func (c *Case) Start(name string, arguments string, environment ...string) *Process {
	raw, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	if err != nil {
		c.Fatal("%v", err)
	}
	run := ""
	for _, line := range strings.Split(string(raw), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			run = rest[:strings.LastIndex(rest, "\"")]
		}
	}
	if run == "" {
		c.Fatal("no run command in the deploy file")
	}
	p := &Process{c: c, name: name, logPath: filepath.Join(c.Dir, name+".log"), ended: make(chan struct{})}
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		c.Fatal("%v", err)
	}
	p.command = exec.Command("/bin/sh", "-c", run+" "+arguments)
	p.command.Dir = c.Root
	p.command.Stdout = out
	p.command.Stderr = out
	p.command.Env = append(os.Environ(), environment...)
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		c.Fatal("start %s: %v", name, err)
	}
	out.Close()
	c.mu.Lock()
	c.processes = append(c.processes, p)
	c.mu.Unlock()
	c.Log("%s started, process %d: %s", name, p.command.Process.Pid, arguments)
	go func() {
		err := p.command.Wait()
		p.state = fmt.Sprint(p.command.ProcessState, " ", err)
		c.Log("%s ended: %s", name, p.state)
		close(p.ended)
		if !p.toEnd.Load() { // such as an address that another program has taken meanwhile
			c.Fatal("%s ended by itself: %s", name, p.state)
		}
	}()
	return p
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.c.Log("%s gets %v", p.name, s)
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.toEnd.Store(true)
	}
	_ = p.command.Process.Signal(s)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	select {
	case <-p.ended:
		return
	default:
	}
	p.toEnd.Store(true)
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	<-p.ended
}

// Ended returns a channel that is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// State returns how the process ended.
func (p *Process) State() string { return p.state }

// LogContains reports whether the process's log contains a text.
func (p *Process) LogContains(text string) bool {
	raw, _ := os.ReadFile(p.logPath)
	return bytes.Contains(raw, []byte(text))
}

// appendLog appends the end of the process's log to the record.
func (p *Process) appendLog() {
	const most = 24 << 10
	raw, _ := os.ReadFile(p.logPath)
	if len(raw) > most {
		raw = raw[len(raw)-most:]
	}
	p.c.Log("log of %s:\n%s", p.name, raw)
}

// Await waits until a condition holds, or ends the case as not run.
func (c *Case) Await(what string, most time.Duration, condition func() bool) {
	if !c.Wait(most, condition) {
		c.Fatal("%s: not within %v", what, most)
	}
}

// Wait waits until a condition holds, and reports whether it did in time.
func (c *Case) Wait(most time.Duration, condition func() bool) bool {
	end := time.Now().Add(most)
	for !condition() {
		if time.Now().After(end) {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

// Healthy reports whether a node takes clients at the address.
func Healthy(address string) bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + "/_health")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// NewID returns 16 random hex digits.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Answer is what a client got for a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Whole  bool // the answer ended as it should
	Err    error
}

// Call makes one call on a connection of its own and reads the answer to its end.
func Call(method, url string, header map[string]string, body []byte, most time.Duration) Answer {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := http.Client{
		Timeout:       most,
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Header: response.Header, Body: raw, Whole: err == nil, Err: err}
}
