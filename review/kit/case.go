// Package kit has what the drivers of the cases share: a case with its record and verdict, processes, relays between
// nodes, stand-ins of clients and of servers, and operators' files. It uses the standard library alone.
package kit

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held      = 0 // the rule held
	Broken    = 1 // the rule was broken
	CouldNot  = 2 // the case could not run
	maxLength = 112 * time.Second
)

// Case is one run of a case: its record, its processes and its verdict.
type Case struct {
	Root    string // root of the repository
	Dir     string // temporary folder of this run
	Trouble bool   // whether the disruption is made

	began       time.Time
	record      *os.File
	lastCommand string // the last command in the record, with what it printed

	mu        sync.Mutex // guards the fields below
	closers   []func()
	breaches  []string
	finishing bool
}

// failure ends a case that could not run.
type failure struct{ reason string }

// Play runs a case and exits with its verdict. folder is the folder of the case, where its record is written.
func Play(folder string, play func(*Case)) {
	folder, err := filepath.Abs(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNot)
	}
	c := &Case{Root: filepath.Dir(filepath.Dir(folder)), Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	if c.record, err = os.Create(filepath.Join(folder, "record.txt")); err == nil {
		c.Dir, err = os.MkdirTemp("", "standpoint-review-")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CouldNot)
	}
	c.Note("case in %s, disruption %v", filepath.Base(folder), c.Trouble)
	time.AfterFunc(maxLength, func() { c.finish(CouldNot, "the case took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		c.finish(CouldNot, "interrupted")
	}()
	defer func() {
		if caught := recover(); caught != nil {
			reason := fmt.Sprint(caught)
			if failed, ok := caught.(failure); ok {
				reason = failed.reason
			}
			c.finish(CouldNot, reason)
		}
	}()
	play(c)
	if len(c.breaches) > 0 {
		c.finish(Broken, strings.Join(c.breaches, "; "))
	}
	c.finish(Held, "the rule held")
}

// finish ends everything that the case started, writes the verdict and exits. Only its first call has an effect.
func (c *Case) finish(code int, reason string) {
	c.mu.Lock()
	if c.finishing {
		c.mu.Unlock()
		select {}
	}
	c.finishing = true
	closers := c.closers
	c.mu.Unlock()
	for i := len(closers) - 1; i >= 0; i-- {
		closers[i]()
	}
	word := map[int]string{Held: "HELD", Broken: "BROKEN", CouldNot: "COULD NOT RUN"}[code]
	c.Note("%s: %s", word, reason)
	fmt.Printf("%s: %s\n", word, reason)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.Dir)
	} else {
		fmt.Println("kept:", c.Dir)
	}
	_ = c.record.Close()
	os.Exit(code)
}

// Note writes a line to the record, with the time since the beginning of the case.
func (c *Case) Note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f  %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

// Breach records that the rule was broken. The case goes on.
func (c *Case) Breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.Note("BREACH: %s", text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaches = append(c.breaches, text)
}

// Stop ends the case because it could not run.
func (c *Case) Stop(format string, args ...any) { panic(failure{fmt.Sprintf(format, args...)}) }

// Must ends the case, as one that could not run, if there is an error.
func (c *Case) Must(err error) {
	if err != nil {
		c.Stop("%v", err)
	}
}

// AtEnd has f called at the end of the case. The last function is called first.
func (c *Case) AtEnd(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closers = append(c.closers, f)
}

// Write writes a file in the temporary folder, whole or not at all, and returns its path.
func (c *Case) Write(name, content string, mode os.FileMode) string {
	path := filepath.Join(c.Dir, name)
	c.Must(os.WriteFile(path+".next", []byte(content), mode))
	c.Must(os.Rename(path+".next", path))
	return path
}

// WaitFor calls condition until it is true, and ends the case as one that could not run if that takes too long.
func (c *Case) WaitFor(what string, limit time.Duration, condition func() bool) {
	for end := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			c.Stop("waited %v in vain: %s", limit, what)
		}
	}
}

// Addresses returns free loopback addresses, for TCP and UDP, on a host of their own, so that a process that starts
// again finds its ports free.
func (c *Case) Addresses(count int) []string {
	for range 50 {
		host := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(250))
		if found, err := freeAddresses(host, count); err == nil {
			return found
		}
	}
	c.Stop("too few free loopback addresses")
	return nil
}

// freeAddresses returns free addresses of one host.
func freeAddresses(host string, count int) (found []string, err error) {
	var open []io.Closer
	defer func() {
		for _, socket := range open {
			err = errors.Join(err, socket.Close())
		}
	}()
	for port := 22000; port < 22000+count; port++ {
		address := net.JoinHostPort(host, strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		open = append(open, listener)
		packets, err := net.ListenPacket("udp", address)
		if err != nil {
			return nil, err
		}
		open = append(open, packets)
		found = append(found, address)
	}
	return found, nil
}
