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

// memberlistLabel keeps apart the member lists of this program and of others.
const memberlistLabel = "standpoint-fleet"

// transport is the library's own, but for the addresses of the others: they are those in this node's file, and what
// a node says of its own address is ignored.
type transport struct {
	*memberlist.NetTransport
	addresses map[string]string // by slot name
}

func (t transport) resolve(address memberlist.Address) memberlist.Address {
	if known, ok := t.addresses[address.Name]; ok {
		address.Addr = known
	}
	return address
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t transport) WriteToAddress(packet []byte, address memberlist.Address) (time.Time, error) {
	return t.NetTransport.WriteToAddress(packet, t.resolve(address))
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t transport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.NetTransport.DialAddressTimeout(t.resolve(address), timeout)
}

// join opens the member list: who is there, and messages between them.
func (f *Fleet) join() error {
	host, portText, err := net.SplitHostPort(f.Listen)
	if err != nil {
		return err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return err
	}
	logger := log.New(logWriter{f.Log}, "", 0)
	netTransport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{host},
		BindPort:  port,
		Logger:    logger,
	})
	if err != nil {
		return fmt.Errorf("fleet.listen: %w", err)
	}
	config := memberlist.DefaultLANConfig()
	config.Name = f.SlotName
	config.BindAddr = host
	config.BindPort = port
	config.AdvertiseAddr = host
	config.AdvertisePort = port
	config.Transport = transport{NetTransport: netTransport, addresses: f.addresses}
	config.Logger = logger
	config.Delegate = f
	config.Label = memberlistLabel
	config.ProbeInterval = 500 * time.Millisecond
	config.ProbeTimeout = 250 * time.Millisecond
	config.TCPTimeout = time.Second
	config.PushPullInterval = 10 * time.Second
	config.DeadNodeReclaimTime = time.Second // a slot's next incarnation may come from another address
	f.memberlist, err = memberlist.Create(config)
	if err != nil {
		_ = netTransport.Shutdown() // the first error counts
		return fmt.Errorf("fleet.listen: %w", err)
	}
	return nil
}

// logWriter writes the lines of the library's log to ours.
type logWriter struct{ log *zap.Logger }

// Write implements io.Writer. Each call has one line.
func (w logWriter) Write(line []byte) (int, error) {
	w.log.Debug("memberlist", zap.ByteString("line", line[:max(0, len(line)-1)]))
	return len(line), nil
}

// NodeMeta implements memberlist.Delegate: nothing is sent with the member list itself.
func (f *Fleet) NodeMeta(int) []byte { return nil }

// GetBroadcasts implements memberlist.Delegate.
func (f *Fleet) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate.
func (f *Fleet) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate.
func (f *Fleet) MergeRemoteState([]byte, bool) {}

// NotifyMsg implements memberlist.Delegate: it puts a message into the mailbox. It never waits, since a message
// that does not fit may be lost as well as one on its way.
func (f *Fleet) NotifyMsg(message []byte) {
	select {
	case f.mailbox <- append([]byte(nil), message...): // the library uses its buffer again
	default:
		f.droppedMessages.Add(1)
	}
}

// listedMembers are the slots whose nodes are there by the member list.
func (f *Fleet) listedMembers() map[string]bool {
	listed := map[string]bool{}
	for _, node := range f.memberlist.Members() {
		listed[node.Name] = true
	}
	return listed
}

// memberNode is a slot as the library takes it. Its address is never used: transport resolves the name.
func (f *Fleet) memberNode(slot int) *memberlist.Node {
	return &memberlist.Node{Name: f.Slots[slot].Name, Addr: net.IPv4(127, 0, 0, 1), Port: 1}
}
