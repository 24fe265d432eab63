// Package rig plays several real processes of the program against each other: emulated boxes that keep a ledger of their own,
// clients with random load, relays that do to the nodes' messages what networks do, kills, stalls and clocks that are off, all by
// a seed; then it heals everything, and checks. What it checks are invariants, so that the verdict is the same every time.
package rig

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"standpoint/internal/control"
	"standpoint/internal/fleet"
	"standpoint/internal/fleet/ledger/replication"
	"standpoint/internal/lab/faults"
)

// Options are what a rig is made of.
type Options struct {
	Program string
	// Previous is an earlier program that the last Older nodes run in place of Program.
	Previous string
	Older    int
	Dir      string // empty, and the rig's own
	Nodes    int    // 3 to 7; all of them members of the store, but for the sites
	Sites    int    // of these, the last ones: building sites with a line to the halls
	NoKills  bool   // troubles are those of messages and clocks alone
	Boxes    int
	Seed     uint64
	Tenants  []Tenant
	Window   time.Duration
	Clock    time.Duration // by which nodes' clocks are off, each way, at the most
	Token    time.Duration // of the boxes
	Config   string        // further text of each node's file
	Log      func(format string, args ...any)
}

// Tenant is a tenant and its budget, with an overdraft; Amount 0: none.
type Tenant struct {
	Name         string
	Amount, Over int64
}

// Rig is the processes and what is round them.
type Rig struct {
	Options
	Net    *faults.Net
	Ledger *Ledger
	Boxes  []*Box
	Nodes  []*Node

	rng *rand.Rand
}

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
	meant   bool // the rig killed it
}

// ports hands out loopback addresses that are free for TCP and UDP, on an address of the loopback range that nothing else here
// uses: a process that is killed finds its ports free when it comes back, whatever connections others have opened meanwhile.
func ports(n int) ([]string, error) {
	for range 50 {
		host := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(250))
		var all []string
		var held []interface{ Close() error }
		for port := 21000; len(all) < n && port < 21000+2*n; port++ {
			at := net.JoinHostPort(host, strconv.Itoa(port))
			l, err := net.Listen("tcp", at)
			if err != nil {
				break
			}
			held = append(held, l)
			u, err := net.ListenPacket("udp", at)
			if err != nil {
				break
			}
			held = append(held, u)
			all = append(all, at)
		}
		for _, h := range held {
			_ = h.Close()
		}
		if len(all) == n {
			return all, nil
		}
	}
	return nil, errors.New("too few free ports")
}

// New writes the nodes' files and starts boxes and relays; the nodes themselves Start starts.
func New(o Options) (*Rig, error) {
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	r := &Rig{Options: o, Net: faults.New(o.Seed), Ledger: NewLedger(), rng: rand.New(rand.NewPCG(o.Seed, 5))}
	for range o.Boxes {
		b, err := StartBox(r.Ledger, o.Token)
		if err != nil {
			return nil, err
		}
		r.Boxes = append(r.Boxes, b)
	}
	free, err := ports(4 * o.Nodes)
	if err != nil {
		return nil, err
	}
	front, between, raft, controls := free[:o.Nodes], free[o.Nodes:2*o.Nodes], free[2*o.Nodes:3*o.Nodes], free[3*o.Nodes:]
	token := filepath.Join(o.Dir, "token")
	if err := os.WriteFile(token, []byte("a-token-that-is-long-enough"), 0o600); err != nil {
		return nil, err
	}
	for i := range o.Nodes {
		n := &Node{Name: fmt.Sprintf("n%d", i), program: o.programOf(i), Front: front[i], Control: controls[i], file: filepath.Join(o.Dir, fmt.Sprintf("n%d.toml", i)),
			log: filepath.Join(o.Dir, fmt.Sprintf("n%d.log", i)), rig: r}
		var b strings.Builder
		off := time.Duration((2*r.rng.Float64() - 1) * float64(o.Clock))
		fmt.Fprintf(&b, "name = %q\nlisten = %q\n[limits]\nmemory_mb = 192\nsockets = 1024\n[log]\nlevel = \"debug\"\n[module]\nnodes = %d\nwarm_up = \"1ms\"\nresume = true\n", n.Name, n.Front, o.Nodes)
		fmt.Fprintf(&b, "[control]\nlisten = %q\ntoken_file = %q\n", n.Control, token)
		fmt.Fprintf(&b, "[[class]]\nname = \"chat\"\nfirst_token = \"1s\"\ngive_up = \"3s\"\nworth = 1.0\n")
		for _, t := range o.Tenants {
			fmt.Fprintf(&b, "[[tenant]]\nname = %q\nshare = %g\n", t.Name, 1/float64(len(o.Tenants)))
		}
		for k, box := range r.Boxes {
			fmt.Fprintf(&b, "[[real_server]]\nname = \"box-%d\"\naddress = %q\n", k, box.Address)
		}
		halls := o.Nodes - o.Sites
		if i < halls {
			fmt.Fprintf(&b, "[store]\nkind = \"raft\"\nid = %q\ndir = \"store-%d\"\nheartbeat = \"100ms\"\n", n.Name, i)
		}
		for k := range halls {
			if i >= halls {
				break
			}
			reach := raft[k]
			if k != i {
				if reach, err = r.Net.Stream(i, k, raft[k]); err != nil {
					return nil, err
				}
			}
			fmt.Fprintf(&b, "[[store.member]]\nid = \"n%d\"\naddress = %q\nreach = %q\ncontrol = %q\n", k, raft[k], reach, controls[k])
		}
		fmt.Fprintf(&b, "[fleet]\nlisten = %q\ndir = \"fleet-%d\"\nstrict = true\nclock_error = \"%dms\"\nclock_offset = \"%dms\"\nbeat = \"100ms\"\nsilence = \"1s\"\nsettle = \"300ms\"\nheal = \"500ms\"\njoin = \"2s\"\nlease = \"%s\"\n",
			between[i], i, max(50, 2*o.Clock.Milliseconds()), off.Milliseconds(), o.lease())
		if o.Sites > 0 {
			b.WriteString("doubt = \"500ms\"\nalone = \"500ms\"\noverdraws = [\"chat\"]\nhalls = [")
			for k := range halls {
				fmt.Fprintf(&b, "\"n%d\", ", k)
			}
			b.WriteString("]\n")
		}
		for k := range o.Nodes {
			at := between[k]
			if k != i {
				if at, err = r.Net.Both(i, k, between[k]); err != nil {
					return nil, err
				}
			}
			fmt.Fprintf(&b, "[[fleet.seat]]\nname = \"n%d\"\naddress = %q\n", k, at)
		}
		for _, t := range o.Tenants {
			if t.Amount > 0 {
				fmt.Fprintf(&b, "[[fleet.budget]]\ntenant = %q\namount = %d\noverdraft = %d\nwindow = %q\nloan = 2\n", t.Name, t.Amount, t.Over, o.Window)
			}
		}
		b.WriteString(strings.ReplaceAll(o.Config, "NODE", n.Name))
		if err := os.WriteFile(n.file, []byte(b.String()), 0o600); err != nil {
			return nil, err
		}
		r.Nodes = append(r.Nodes, n)
	}
	return r, nil
}

// programOf is what the node of that number runs.
func (o Options) programOf(number int) string {
	if number >= o.Nodes-o.Older {
		return o.Previous
	}
	return o.Program
}

// lease is for how long seats are given: for long where sites may be alone.
func (o Options) lease() time.Duration {
	if o.Sites > 0 {
		return 10 * time.Minute
	}
	return 5 * time.Second
}

// Close ends all processes that the rig has started, and what is round them.
func (r *Rig) Close() {
	for _, n := range r.Nodes {
		n.Kill()
	}
	r.Net.Close()
	for _, b := range r.Boxes {
		b.Close()
	}
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
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	n.process, n.ended, n.out, n.stalled, n.meant = c, make(chan error, 1), out, false, false
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
	n.meant = true
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
		return fmt.Errorf("%s ended by itself: %v\n%s", n.Name, err, tail(n.log))
	default:
		return nil
	}
}

func tail(path string) string {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(raw[max(0, len(raw)-4000):])
}

// Status asks the node how it stands to its fleet.
func (n *Node) Status(ctx context.Context) (fleet.Status, error) {
	c := control.NewClient(n.Control, "a-token-that-is-long-enough")
	defer c.Close()
	var s fleet.Status
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return s, c.Call(ctx, http.MethodGet, "/v1/fleet", nil, &s)
}

// Ledger asks the node how its ledger stands.
func (n *Node) Ledger(ctx context.Context) (replication.Status, error) {
	c := control.NewClient(n.Control, "a-token-that-is-long-enough")
	defer c.Close()
	var s replication.Status
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	return s, c.Call(ctx, http.MethodGet, "/v1/ledger", nil, &s)
}

// StartAll starts all nodes, and waits until they are together and have their seats.
func (r *Rig) StartAll(ctx context.Context) error {
	for _, n := range r.Nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	return r.Together(ctx, 30*time.Second)
}

// Together waits until every node hears every other, has its seat, and is together with the others by its mode.
func (r *Rig) Together(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	last := "nothing was heard of them"
	for {
		all := true
		for _, n := range r.Nodes {
			if err := n.Died(); err != nil {
				return err
			}
			s, err := n.Status(ctx)
			ok := err == nil && s.State == "together" && s.LeaseRemaining > 0
			for _, p := range s.Peers {
				ok = ok && p.Alive
			}
			if !ok {
				all = false
				last = fmt.Sprintf("%s: %v, %s, lease of %.1f s, peers %+v", n.Name, err, s.State, s.LeaseRemaining, s.Peers)
			}
		}
		if all {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not all are together after %v: %s", within, last)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// Trouble does something to nodes and their messages, again and again, until ctx ends: what, to whom and for how long is drawn.
// Kills leave a process of each store's majority alone or not, as it falls.
func (r *Rig) Trouble(ctx context.Context) {
	var waits sync.WaitGroup
	defer waits.Wait()
	after := func(d time.Duration, do func()) {
		waits.Go(func() {
			select {
			case <-time.After(d):
			case <-ctx.Done():
			}
			do()
		})
	}
	for ctx.Err() == nil {
		n := r.Nodes[r.rng.IntN(len(r.Nodes))]
		other := (r.index(n) + 1 + r.rng.IntN(len(r.Nodes)-1)) % len(r.Nodes)
		span := time.Duration(300+r.rng.IntN(1700)) * time.Millisecond
		what := r.rng.IntN(9)
		if r.NoKills && what >= 4 && what <= 6 {
			what = 0
		}
		switch what {
		case 0: // a side of one to half of the nodes is cut off
			side := 1 + r.rng.IntN(len(r.Nodes)/2)
			r.Log("%d nodes are cut off for %v", side, span)
			for i := range r.Nodes {
				for k := range r.Nodes {
					if (i < side) != (k < side) {
						r.Net.Set(i, k, faults.Way{Cut: true})
					}
				}
			}
			after(span, r.Net.Heal)
		case 1: // one way
			r.Log("%s does not reach n%d for %v", n.Name, other, span)
			r.Net.Set(r.index(n), other, faults.Way{Cut: true})
			after(span, func() { r.Net.Set(r.index(n), other, faults.Way{}) })
		case 2, 3: // everything is lossy, doubled, late and out of order
			r.Log("losses for %v", span)
			for i := range r.Nodes {
				for k := range r.Nodes {
					r.Net.Set(i, k, faults.Way{Loss: 0.3, Double: 0.1, Delay: time.Millisecond, Spread: 40 * time.Millisecond})
				}
			}
			after(span, r.Net.Heal)
		case 4:
			r.Log("%s is killed for %v", n.Name, span)
			n.Kill()
			after(span, func() {
				if err := n.Start(); err != nil {
					r.Log("%s does not start: %v", n.Name, err)
				}
			})
		case 5, 6:
			r.Log("%s stands still for %v", n.Name, span)
			n.Stall(true)
			after(span, func() { n.Stall(false) })
		default:
			r.Log("streams between %s and n%d are reset", n.Name, other)
			r.Net.Reset(r.index(n), other)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(100+r.rng.IntN(700)) * time.Millisecond):
		}
	}
}

func (r *Rig) index(n *Node) int {
	for i := range r.Nodes {
		if r.Nodes[i] == n {
			return i
		}
	}
	return -1
}

// Heal ends all troubles.
func (r *Rig) Heal() error {
	r.Net.Heal()
	for _, n := range r.Nodes {
		n.Stall(false)
		if err := n.Start(); err != nil {
			return err
		}
	}
	return nil
}

// line is a line of a node's log, as far as it is read here.
type line struct {
	Msg    string `json:"msg"`
	Budget string `json:"budget"`
	Window int64  `json:"window"`
	Amount int64  `json:"amount"`
}

// Spent adds up, from the logs of all lives of all nodes, what was spent of each budget in each window. A node writes what it
// admits before anything is sent on.
func (r *Rig) Spent() (map[string]map[int64]int64, error) {
	all := map[string]map[int64]int64{}
	for _, n := range r.Nodes {
		raw, err := os.ReadFile(n.log)
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(bytes.NewReader(raw))
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var l line
			if json.Unmarshal(lines.Bytes(), &l) != nil || l.Msg != "spent" && l.Msg != "given back" {
				continue
			}
			if all[l.Budget] == nil {
				all[l.Budget] = map[int64]int64{}
			}
			if l.Msg == "given back" {
				l.Amount = -l.Amount
			}
			all[l.Budget][l.Window] += l.Amount
		}
		if err := lines.Err(); err != nil {
			return nil, err
		}
	}
	return all, nil
}
