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

// memberlistLabel marks the packets of this program's member lists, so that those of other programs are ignored.
const memberlistLabel = "standpoint-fleet"

// transport is the library's own transport, except that it uses the configured addresses of the other nodes. The
// addresses that nodes announce themselves are ignored.
type transport struct {
	*memberlist.NetTransport
	addresses map[string]string // addresses by slot name
}

// resolve replaces an announced address by the configured one.
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

// join starts listening and creates this node's member list.
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
	config.DeadNodeReclaimTime = time.Second // the slot's next incarnation may have another address
	f.memberlist, err = memberlist.Create(config)
	if err != nil {
		_ = netTransport.Shutdown() // the error of Create is returned
		return fmt.Errorf("fleet.listen: %w", err)
	}
	return nil
}

// logWriter writes the lines of the library's log to this program's log.
type logWriter struct{ log *zap.Logger }

// Write implements io.Writer. The library writes one line with each call.
func (w logWriter) Write(line []byte) (int, error) {
	w.log.Debug("memberlist", zap.ByteString("line", line[:max(0, len(line)-1)]))
	return len(line), nil
}

// NodeMeta implements memberlist.Delegate. No metadata is sent with the member list.
func (f *Fleet) NodeMeta(int) []byte { return nil }

// GetBroadcasts implements memberlist.Delegate.
func (f *Fleet) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState implements memberlist.Delegate.
func (f *Fleet) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate.
func (f *Fleet) MergeRemoteState([]byte, bool) {}

// NotifyMsg implements memberlist.Delegate. It puts a message into the mailbox, and drops it if the mailbox is full:
// the protocol tolerates lost messages, and the library's goroutine must not block.
func (f *Fleet) NotifyMsg(message []byte) {
	select {
	case f.mailbox <- append([]byte(nil), message...): // copied, since the library reuses its buffer
	default:
		f.droppedMessages.Add(1)
	}
}

// listedMembers returns the names of the slots whose nodes are in the member list.
func (f *Fleet) listedMembers() map[string]bool {
	listed := map[string]bool{}
	for _, node := range f.memberlist.Members() {
		listed[node.Name] = true
	}
	return listed
}

// memberNode returns a slot as a node of the library. Its address is a placeholder: transport resolves the name.
func (f *Fleet) memberNode(slot int) *memberlist.Node {
	return &memberlist.Node{Name: f.Slots[slot].Name, Addr: net.IPv4(127, 0, 0, 1), Port: 1}
}
