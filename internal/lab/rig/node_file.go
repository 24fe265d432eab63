package rig

import (
	"fmt"
	"strings"
	"time"

	"standpoint/internal/loopback"
)

// addresses are the addresses on which one node listens.
type addresses struct {
	client  string // for clients' requests
	fleet   string // for messages between the fleet's members
	raft    string // for messages between the store's members
	control string // for the control interface
}

// nodeName returns the name of the node with a number, from 0.
func nodeName(number int) string { return fmt.Sprintf("n%d", number) }

// findNodeAddresses returns free addresses for count nodes.
func findNodeAddresses(count int) ([]addresses, error) {
	free, err := loopback.FreeAddresses(4 * count)
	if err != nil {
		return nil, err
	}
	nodes := make([]addresses, count)
	for i := range nodes {
		nodes[i] = addresses{
			client:  free[i],
			fleet:   free[count+i],
			raft:    free[2*count+i],
			control: free[3*count+i],
		}
	}
	return nodes, nil
}

// operatorFile returns the content of the operator's file of one node. In it the addresses of the other nodes' store
// and fleet members are those of relays.
func (r *Rig) operatorFile(number int, nodes []addresses, token string) (string, error) {
	var b strings.Builder
	clockOffset := time.Duration((2*r.rng.Float64() - 1) * float64(r.MaxClockOffset))
	r.writeServing(&b, number, nodes[number], token)
	if err := r.writeStore(&b, number, nodes); err != nil {
		return "", err
	}
	if err := r.writeFleet(&b, number, nodes, clockOffset); err != nil {
		return "", err
	}
	b.WriteString(strings.ReplaceAll(r.ExtraConfig, "NODE", nodeName(number)))
	return b.String(), nil
}

// writeServing writes the node's own addresses, limits and module settings, its class and tenants, and its backends.
func (r *Rig) writeServing(b *strings.Builder, number int, own addresses, token string) {
	fmt.Fprintf(b, "name = %q\nlisten = %q\n", nodeName(number), own.client)
	b.WriteString("[limits]\nmemory_mb = 192\nsockets = 1024\n[log]\nlevel = \"debug\"\n")
	fmt.Fprintf(b, "[module]\nnodes = %d\nwarm_up = \"1ms\"\nresume = true\n", r.Options.Nodes)
	fmt.Fprintf(b, "[control]\nlisten = %q\ntoken_file = %q\n", own.control, token)
	b.WriteString("[[class]]\nname = \"chat\"\nfirst_token = \"1s\"\ngive_up = \"3s\"\nworth = 1.0\n")
	for _, tenant := range r.Tenants {
		fmt.Fprintf(b, "[[tenant]]\nname = %q\nshare = %g\n", tenant.Name, 1/float64(len(r.Tenants)))
	}
	for i, backend := range r.Backends {
		fmt.Fprintf(b, "[[real_server]]\nname = \"box-%d\"\naddress = %q\n", i, backend.Address)
	}
}

// writeStore writes the store's members: all nodes except the sites. A site has no replica of the store.
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
			if reach, err = r.Network.RelayTCP(number, i, nodes[i].raft); err != nil {
				return err
			}
		}
		fmt.Fprintf(b, "[[store.member]]\nid = %q\naddress = %q\nreach = %q\ncontrol = %q\n",
			nodeName(i), nodes[i].raft, reach, nodes[i].control)
	}
	return nil
}

// writeFleet writes the fleet's timing, members and budgets.
func (r *Rig) writeFleet(b *strings.Builder, number int, nodes []addresses, clockOffset time.Duration) error {
	fmt.Fprintf(b, "[fleet]\nlisten = %q\ndir = \"fleet-%d\"\nstrict = true\n", nodes[number].fleet, number)
	fmt.Fprintf(b, "clock_error = \"%dms\"\nclock_offset = \"%dms\"\n",
		max(50, 2*r.MaxClockOffset.Milliseconds()), clockOffset.Milliseconds())
	b.WriteString("beat = \"100ms\"\nsilence = \"1s\"\nsettle = \"300ms\"\nheal = \"500ms\"\njoin = \"2s\"\n")
	fmt.Fprintf(b, "lease = \"%s\"\n", r.leaseDuration())
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
			if address, err = r.Network.RelayTCPAndUDP(number, i, nodes[i].fleet); err != nil {
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

// coreNodes returns the number of nodes that are not sites.
func (r *Rig) coreNodes() int { return r.Options.Nodes - r.Sites }
