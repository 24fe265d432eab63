package rig

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"
)

// freeAddresses hands out loopback addresses that are free for TCP and UDP, on an address of the loopback range that
// nothing else here uses: a process that is killed finds its ports free when it comes back, whatever connections
// others have opened meanwhile.
func freeAddresses(n int) ([]string, error) {
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

// addresses are the addresses that one node listens at.
type addresses struct {
	front   string // clients
	fleet   string // messages between nodes
	raft    string
	control string
}

func nodeName(number int) string { return fmt.Sprintf("n%d", number) }

// nodeAddresses finds free addresses for so many nodes.
func nodeAddresses(count int) ([]addresses, error) {
	free, err := freeAddresses(4 * count)
	if err != nil {
		return nil, err
	}
	nodes := make([]addresses, count)
	for i := range nodes {
		nodes[i] = addresses{
			front:   free[i],
			fleet:   free[count+i],
			raft:    free[2*count+i],
			control: free[3*count+i],
		}
	}
	return nodes, nil
}

// nodeFile is the operator's file of one node. Its messages to the others go through relays.
func (r *Rig) nodeFile(number int, nodes []addresses, token string) (string, error) {
	var b strings.Builder
	clockOffset := time.Duration((2*r.rng.Float64() - 1) * float64(r.MaxClockOffset))
	r.writeServing(&b, number, nodes[number], token)
	if err := r.writeStore(&b, number, nodes); err != nil {
		return "", err
	}
	if err := r.writeFleet(&b, number, nodes, clockOffset); err != nil {
		return "", err
	}
	b.WriteString(strings.ReplaceAll(r.Config, "NODE", nodeName(number)))
	return b.String(), nil
}

// writeServing writes what the node listens at, and whom it serves by which backends.
func (r *Rig) writeServing(b *strings.Builder, number int, own addresses, token string) {
	fmt.Fprintf(b, "name = %q\nlisten = %q\n", nodeName(number), own.front)
	b.WriteString("[limits]\nmemory_mb = 192\nsockets = 1024\n[log]\nlevel = \"debug\"\n")
	fmt.Fprintf(b, "[module]\nnodes = %d\nwarm_up = \"1ms\"\nresume = true\n", r.Options.Nodes)
	fmt.Fprintf(b, "[control]\nlisten = %q\ntoken_file = %q\n", own.control, token)
	b.WriteString("[[class]]\nname = \"chat\"\nfirst_token = \"1s\"\ngive_up = \"3s\"\nworth = 1.0\n")
	for _, tenant := range r.Tenants {
		fmt.Fprintf(b, "[[tenant]]\nname = %q\nshare = %g\n", tenant.Name, 1/float64(len(r.Tenants)))
	}
	for i, box := range r.Backends {
		fmt.Fprintf(b, "[[real_server]]\nname = \"box-%d\"\naddress = %q\n", i, box.Address)
	}
}

// writeStore writes the store's members: all nodes but the sites. A site has no replica of its own.
func (r *Rig) writeStore(b *strings.Builder, number int, nodes []addresses) error {
	core := r.coreNodes()
	if number >= core {
		return nil
	}
	fmt.Fprintf(b, "[store]\nkind = \"raft\"\nid = %q\ndir = \"store-%d\"\nheartbeat = \"100ms\"\n",
		nodeName(number), number)
	for i := range core {
		reach := nodes[i].raft
		if i != number {
			var err error
			if reach, err = r.Net.Stream(number, i, nodes[i].raft); err != nil {
				return err
			}
		}
		fmt.Fprintf(b, "[[store.member]]\nid = %q\naddress = %q\nreach = %q\ncontrol = %q\n",
			nodeName(i), nodes[i].raft, reach, nodes[i].control)
	}
	return nil
}

// writeFleet writes the fleet's members and budgets.
func (r *Rig) writeFleet(b *strings.Builder, number int, nodes []addresses, clockOffset time.Duration) error {
	fmt.Fprintf(b, "[fleet]\nlisten = %q\ndir = \"fleet-%d\"\nstrict = true\n", nodes[number].fleet, number)
	fmt.Fprintf(b, "clock_error = \"%dms\"\nclock_offset = \"%dms\"\n",
		max(50, 2*r.MaxClockOffset.Milliseconds()), clockOffset.Milliseconds())
	b.WriteString("beat = \"100ms\"\nsilence = \"1s\"\nsettle = \"300ms\"\nheal = \"500ms\"\njoin = \"2s\"\n")
	fmt.Fprintf(b, "lease = \"%s\"\n", r.lease())
	if r.Sites > 0 {
		b.WriteString("doubt = \"500ms\"\nalone = \"500ms\"\noverdraws = [\"chat\"]\nhalls = [")
		for i := range r.coreNodes() {
			fmt.Fprintf(b, "%q, ", nodeName(i))
		}
		b.WriteString("]\n")
	}
	for i := range nodes {
		address := nodes[i].fleet
		if i != number {
			var err error
			if address, err = r.Net.Both(number, i, nodes[i].fleet); err != nil {
				return err
			}
		}
		fmt.Fprintf(b, "[[fleet.seat]]\nname = %q\naddress = %q\n", nodeName(i), address)
	}
	for _, tenant := range r.Tenants {
		if tenant.Amount > 0 {
			fmt.Fprintf(b, "[[fleet.budget]]\ntenant = %q\namount = %d\noverdraft = %d\nwindow = %q\nloan = 2\n",
				tenant.Name, tenant.Amount, tenant.Overdraft, r.BudgetWindow)
		}
	}
	return nil
}

// coreNodes is the number of nodes that are no sites.
func (r *Rig) coreNodes() int { return r.Options.Nodes - r.Sites }
