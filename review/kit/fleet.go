package kit

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// token is the token of the control interfaces.
const token = "review-control-token-0001"

// Node is a node of a fleet: its addresses, its file and its process.
type Node struct {
	*Process
	Address string // for clients
	Control string // for commands
	File    string // operator's file

	fleet, raft string
}

// Fleet is a small deployment: nodes that share a store on disk and a [fleet], and servers.
type Fleet struct {
	Nodes   []*Node
	Servers []string // addresses of the servers

	// Classes, Tenants and Extra are written into each node's file. NODE in Extra stands for the node's name.
	Tenants []string
	Extra   string

	c      *Case
	relays []*relay
}

// NewFleet returns a deployment of some nodes and servers on free addresses. Nothing of it runs yet.
func (c *Case) NewFleet(nodes, servers int) *Fleet {
	free := c.Addresses(4*nodes + servers)
	f := &Fleet{c: c, Servers: free[4*nodes:]}
	for i := range nodes {
		own := free[4*i:]
		f.Nodes = append(f.Nodes, &Node{Address: own[0], Control: own[1], fleet: own[2], raft: own[3]})
	}
	return f
}

// Name returns the name of a node.
func (f *Fleet) Name(number int) string { return fmt.Sprintf("payroll-%d", number+1) }

// WriteFiles writes the operators' files of all nodes. Calls after the first change them. Messages between nodes go
// through relays.
func (f *Fleet) WriteFiles() {
	secret := f.c.Write("control.token", token+"\n", 0o600)
	for i, node := range f.Nodes {
		node.File = f.c.Write(f.Name(i)+".toml", f.text(i, secret), 0o600)
	}
}

// text returns the operator's file of one node.
func (f *Fleet) text(number int, secret string) string {
	var b strings.Builder
	own := f.Nodes[number]
	name := f.Name(number)
	fmt.Fprintf(&b, "name = %q\nlisten = %q\n[limits]\ncores = 1.0\nmemory_mb = 192\nsockets = 1024\n", name, own.Address)
	fmt.Fprintf(&b, "[control]\nlisten = %q\ntoken_file = %q\n", own.Control, secret)
	fmt.Fprintf(&b, "[module]\nnodes = %d\nordinal = %d\nzones = [\"hall-a\", \"hall-b\"]\nzone = \"hall-a\"\n"+
		"kinds = [\"fast\", \"standard\", \"slow\"]\nmax_attempts = 3\n", len(f.Nodes), number)
	b.WriteString("[[class]]\nname = \"sheet-import\"\nfirst_token = \"2.5s\"\nper_1000_prompt_tokens = \"60ms\"\n" +
		"token_gap = \"50ms\"\ngive_up = \"10s\"\nworth = 2.0\n" +
		"[[class]]\nname = \"foreman-chat\"\nfirst_token = \"1.2s\"\nper_1000_prompt_tokens = \"30ms\"\n" +
		"token_gap = \"100ms\"\ngive_up = \"5s\"\nworth = 5.0\n")
	for _, tenant := range f.Tenants {
		fmt.Fprintf(&b, "[[tenant]]\nname = %q\nshare = %.3f\n", tenant, 1/float64(len(f.Tenants)))
	}
	for i, address := range f.Servers {
		fmt.Fprintf(&b, "[[real_server]]\nname = \"box-%d\"\naddress = %q\nzone = \"hall-a\"\nkind = \"fast\"\n", i+1, address)
	}
	fmt.Fprintf(&b, "[store]\nkind = \"raft\"\nid = %q\ndir = \"state-%s\"\n", name, name)
	for i, member := range f.Nodes {
		fmt.Fprintf(&b, "[[store.member]]\nid = %q\naddress = %q\nfront = %q\ncontrol = %q\nreach = %q\n",
			f.Name(i), member.raft, member.Address, member.Control, f.reach(number, i, member.raft, false))
	}
	fmt.Fprintf(&b, "[fleet]\nlisten = %q\ndir = \"fleet-%s\"\n", own.fleet, name)
	for i, member := range f.Nodes {
		fmt.Fprintf(&b, "[[fleet.seat]]\nname = %q\naddress = %q\nweight = 1\n",
			f.Name(i), f.reach(number, i, member.fleet, true))
	}
	b.WriteString(strings.ReplaceAll(f.Extra, "NODE", name))
	return b.String()
}

// reach returns the address at which one node reaches an address of another: that of a relay.
func (f *Fleet) reach(from, to int, address string, packets bool) string {
	if from == to {
		return address
	}
	for _, known := range f.relays {
		if known.from == from && known.target == address {
			return known.address
		}
	}
	added := &relay{from: from, to: to, address: f.c.Addresses(1)[0], target: address, packets: packets}
	f.relays = append(f.relays, added)
	f.c.Must(added.start(f.c))
	return added.address
}

// Start starts all nodes and waits until each takes clients.
func (f *Fleet) Start() {
	f.WriteFiles()
	for i, node := range f.Nodes {
		node.Process = f.c.StartNode(f.Name(i), node.File)
	}
	for i, node := range f.Nodes {
		f.c.WaitFor(f.Name(i)+" takes clients", 30*time.Second, func() bool { return Ready(node.Address) })
	}
}

// Command runs a command of the program at a node.
func (f *Fleet) Command(node int, args ...string) (string, error) {
	return f.c.Command(append(args, "--config", f.Nodes[node].File)...)
}

// Leader waits until a node leads the store and returns its number.
func (f *Fleet) Leader() int {
	leader := -1
	f.c.WaitFor("a node leads the store", 30*time.Second, func() bool {
		for i, node := range f.Nodes {
			if node.LogLine("entering leader state") != "" || node.LogLine("\"leader\"") != "" {
				leader = i
			}
		}
		return leader >= 0
	})
	return leader
}

// Cut cuts a node off from the other nodes, or ends that. While it lasts nothing is said: open connections stay silent,
// new ones never come up, and datagrams are lost.
func (f *Fleet) Cut(node int, cut bool) {
	f.c.Note("%s is cut off from the other nodes: %v", f.Name(node), cut)
	for _, r := range f.relays {
		if r.from == node || r.to == node {
			r.setCut(cut)
		}
	}
}

// relay passes on what one node sends to an address of another.
type relay struct {
	from, to        int
	address, target string
	packets         bool // carries datagrams, too

	mu     sync.Mutex
	cut    bool
	healed chan struct{} // closed as a cut ends
}

func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case cut && !r.cut:
		r.healed = make(chan struct{})
	case !cut && r.cut:
		close(r.healed)
	}
	r.cut = cut
}

// await waits for the end of a cut.
func (r *relay) await() {
	r.mu.Lock()
	cut, healed := r.cut, r.healed
	r.mu.Unlock()
	if cut {
		<-healed
	}
}

// isCut reports whether the relay is cut.
func (r *relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

func (r *relay) start(c *Case) error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	c.AtEnd(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.carry(conn)
		}
	}()
	if !r.packets {
		return nil
	}
	socket, err := net.ListenPacket("udp", r.address)
	if err != nil {
		return err
	}
	c.AtEnd(func() { _ = socket.Close() })
	target, err := net.ResolveUDPAddr("udp", r.target)
	if err != nil {
		return err
	}
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, _, err := socket.ReadFrom(buffer)
			if err != nil {
				return
			}
			if !r.isCut() {
				_, _ = socket.WriteTo(buffer[:n], target)
			}
		}
	}()
	return nil
}

// carry carries one connection.
func (r *relay) carry(near net.Conn) {
	defer func() { _ = near.Close() }()
	r.await()
	far, err := net.DialTimeout("tcp", r.target, 5*time.Second)
	if err != nil {
		return
	}
	defer func() { _ = far.Close() }()
	done := make(chan struct{}, 2)
	pump := func(to, from net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			r.await()
			if n > 0 {
				if _, failed := to.Write(buffer[:n]); failed != nil {
					err = failed
				}
			}
			if err != nil {
				if err != io.EOF {
					_ = to.Close()
				}
				done <- struct{}{}
				return
			}
		}
	}
	go pump(far, near)
	go pump(near, far)
	<-done
}
