package browser

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/miekg/dns"

	"standpoint/internal/clock"
	"standpoint/internal/dnssd/mdns"
)

// Transport carries mDNS messages. What this package has is Unicast; multicast is nobody's here.
type Transport interface {
	Send(raw []byte) error
	// Receive waits for one message; it returns net.ErrClosed after Close. The bytes are the caller's.
	Receive() ([]byte, error)
	Close() error
}

// Unicast is a transport over UDP between loopback addresses: messages go to one peer, and only that peer's are heard.
type Unicast struct {
	conn *net.UDPConn
	peer netip.AddrPort
	buf  [9000]byte // the largest mDNS message (RFC 6762, 17)
}

// DialUnicast opens a socket for a peer. Addresses that are not loopback are refused, multicast ones above all.
func DialUnicast(peer string) (*Unicast, error) {
	to, err := netip.ParseAddrPort(peer)
	if err != nil {
		return nil, err
	}
	if !to.Addr().IsLoopback() {
		return nil, fmt.Errorf("%v is no loopback address", to)
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20) // a large service comes all at once; the system may allow less
	return &Unicast{conn: conn, peer: to}, nil
}

// Send implements Transport.
func (u *Unicast) Send(raw []byte) error {
	_, err := u.conn.WriteToUDPAddrPort(raw, u.peer)
	return err
}

// Receive implements Transport.
func (u *Unicast) Receive() ([]byte, error) {
	for {
		n, from, err := u.conn.ReadFromUDPAddrPort(u.buf[:])
		if err != nil {
			return nil, err
		}
		if netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) == u.peer {
			return append([]byte(nil), u.buf[:n]...), nil
		}
	}
}

// Close implements Transport.
func (u *Unicast) Close() error { return u.conn.Close() }

// listen is the actor round the querier.
func (f *Browser) listen(ctx context.Context) {
	transport, err := f.Dial()
	if err != nil {
		f.note(MDNS, err)
		<-ctx.Done()
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = transport.Close() })
	defer stop()
	inbox := make(chan []byte, inboxSize)
	go func() {
		defer close(inbox)
		for {
			raw, err := transport.Receive()
			if err != nil {
				if ctx.Err() != nil {
					return
				}
				select { // such as a peer that is not there
				case <-ctx.Done():
					return
				case <-time.After(f.Every):
				}
				continue
			}
			select {
			case inbox <- raw:
			case <-ctx.Done():
				return
			}
		}
	}()
	base := time.Now()
	epoch := clock.Of(base)
	q := mdns.New(f.Service, rand.Float64)
	var heard, changed bool
	var told time.Time
	var rest pace
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case raw, ok := <-inbox:
			if !ok {
				return
			}
			m := new(dns.Msg)
			if err := m.Unpack(raw); err != nil || !m.Response {
				f.client.Spoofed.Add(1)
				continue
			}
			changed = q.Handle(m, time.Since(base)) || changed
			if !heard || len(inbox) == 0 {
				f.note(MDNS, nil)
			}
			heard = true
		case <-timer.C:
		}
		if wait := rest.wait(time.Now()); wait > 0 {
			timer.Reset(wait)
			continue
		}
		began := time.Now()
		now := began.Sub(base)
		changed = q.Expire(now) || changed
		messages, next := q.Due(now)
		for _, m := range messages {
			raw, err := m.Pack()
			if err == nil {
				f.client.Asked.Add(1)
				err = transport.Send(raw)
			}
			if err != nil {
				f.client.Failed.Add(1)
				f.note(MDNS, err)
			}
		}
		if heard && (changed || time.Since(told) >= tellEvery) {
			told, changed = time.Now(), false
			v, labels := q.View(epoch)
			f.Tell(sight(v, f.Service, labels, Snapshot{Way: MDNS, At: told}))
		}
		rest.took(began, time.Now())
		timer.Reset(max(time.Millisecond, min(next-time.Since(base), tellEvery)))
	}
}

// pace lets a piece of work that goes over everything run for a quarter of the time at the most: after each run it
// rests for three times as long as that took, up to restMost.
type pace struct{ until time.Time }

const restMost = 100 * time.Millisecond

func (p *pace) wait(now time.Time) time.Duration { return p.until.Sub(now) }

func (p *pace) took(began, ended time.Time) { p.until = ended.Add(min(restMost, 3*ended.Sub(began))) }
