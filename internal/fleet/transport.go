package fleet

import (
	"fmt"
	"log"
	"net"
	"strconv"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"
)

// transport is the library's own, but for where the others are reached: each node's file says so for itself, and a node's own
// word of its address goes for nothing.
type transport struct {
	*memberlist.NetTransport
	addresses map[string]string
}

func (t transport) resolve(a memberlist.Address) memberlist.Address {
	if r, ok := t.addresses[a.Name]; ok {
		a.Addr = r
	}
	return a
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.NetTransport.WriteToAddress(b, t.resolve(a))
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.NetTransport.DialAddressTimeout(t.resolve(a), timeout)
}

// join opens the list of members: who is there, and packets between them.
func (f *Fleet) join() error {
	host, port, err := net.SplitHostPort(f.Listen)
	if err != nil {
		return err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	quiet := log.New(logWriter{f.Log}, "", 0)
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: number, Logger: quiet})
	if err != nil {
		return fmt.Errorf("fleet.listen: %w", err)
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = f.SlotName, host, number, host, number
	c.Transport, c.Logger, c.Delegate, c.Label = transport{t, f.addresses}, quiet, f, "standpoint-fleet"
	c.ProbeInterval, c.ProbeTimeout, c.TCPTimeout, c.PushPullInterval = 500*time.Millisecond, 250*time.Millisecond, time.Second, 10*time.Second
	c.DeadNodeReclaimTime = time.Second // a seat's next life may come from another address
	if f.memberlist, err = memberlist.Create(c); err != nil {
		_ = t.Shutdown()
		return fmt.Errorf("fleet.listen: %w", err)
	}
	return nil
}

// logWriter hands the library's log on.
type logWriter struct{ log *zap.Logger }

func (l logWriter) Write(b []byte) (int, error) {
	l.log.Debug("memberlist", zap.ByteString("line", b[:max(0, len(b)-1)]))
	return len(b), nil
}

// NodeMeta implements memberlist.Delegate: nothing rides on the list of members itself.
func (f *Fleet) NodeMeta(int) []byte { return nil }

// GetBroadcasts implements memberlist.Delegate.
func (f *Fleet) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate.
func (f *Fleet) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate.
func (f *Fleet) MergeRemoteState([]byte, bool) {}

// NotifyMsg implements memberlist.Delegate. It never waits: what does not fit is lost, as it could be on its way.
func (f *Fleet) NotifyMsg(b []byte) {
	select {
	case f.mailbox <- append([]byte(nil), b...):
	default:
		f.droppedMessages.Add(1)
	}
}

// listedMembers are the seats that the library takes to be there.
func (f *Fleet) listedMembers() map[string]bool {
	all := map[string]bool{}
	for _, n := range f.memberlist.Members() {
		all[n.Name] = true
	}
	return all
}

// memberNode is a seat as the library addresses it.
func (f *Fleet) memberNode(seat int) *memberlist.Node {
	return &memberlist.Node{Name: f.Slots[seat].Name, Addr: net.IPv4(127, 0, 0, 1), Port: 1} // the name decides where it is reached
}
