package push

import (
	"testing"
	"time"

	"github.com/miekg/dns"
	"github.com/stretchr/testify/require"

	"standpoint/internal/dnssd/record"
)

// Every message that is written is decoded to the same meaning.
func TestMessagesRoundTrip(t *testing.T) {
	m, err := Decode(KeepaliveMessage(5, true, time.Minute, 15*time.Second))
	require.NoError(t, err)
	require.Equal(
		t,
		Message{ID: 5, Response: true, Type: Keepalive, Inactivity: time.Minute, Interval: 15 * time.Second},
		m,
	)
	raw, err := SubscribeMessage(6, `Hall\032A\.7._engine._tcp.Test.`, dns.TypeANY)
	require.NoError(t, err)
	m, err = Decode(raw)
	require.NoError(t, err)
	require.Equal(
		t,
		Message{ID: 6, Type: Subscribe, Name: `hall\ a\.7._engine._tcp.test.`, Kind: record.Kind(dns.TypeANY)},
		m,
	)
	m, err = Decode(UnsubscribeMessage(6))
	require.NoError(t, err)
	require.Equal(t, uint16(6), m.Subscription)
	m, err = Decode(RetryDelayMessage(dns.RcodeServerFailure, time.Minute))
	require.NoError(t, err)
	require.Equal(t, time.Minute, m.Delay)
	ptr, err := dns.NewRR("_e._tcp.test. 9 IN PTR a._e._tcp.test.")
	require.NoError(t, err)
	all, err := ChangeMessages([]OutgoingChange{{RR: ptr}, {RR: ptr, Remove: true}})
	require.NoError(t, err)
	require.Len(t, all, 1)
	m, err = Decode(all[0])
	require.NoError(t, err)
	require.Len(t, m.Changes, 2)
	require.False(t, m.Changes[0].Remove)
	require.Equal(t, uint32(9), m.Changes[0].Record.TTL)
	require.True(t, m.Changes[1].Remove)
	require.Equal(t, "a._e._tcp.test.", m.Changes[1].Record.Target)
	// Many records go out in as many messages as are needed, none of them too large.
	many := make([]OutgoingChange, 3000)
	for i := range many {
		many[i] = OutgoingChange{RR: ptr}
	}
	all, err = ChangeMessages(many)
	require.NoError(t, err)
	n := 0
	for _, raw := range all {
		require.Less(t, len(raw), 20_000)
		m, err = Decode(raw)
		require.NoError(t, err)
		n += len(m.Changes)
	}
	require.Equal(t, 3000, n)
	// A collective removal (RFC 8765, 6.3.1): all kinds at a name.
	raw = append(newHeader(0, false, 0), 0, 0x41, 0, 0)
	name := []byte("\x01a\x04test\x00\x00\xff\x00\xff\xff\xff\xff\xfe\x00\x00")
	raw[15] = byte(len(name))
	m, err = Decode(append(raw, name...))
	require.NoError(t, err)
	require.Equal(t, []Change{{Remove: true, All: true, Record: record.Record{Name: "a.test."}}}, m.Changes)
}

func TestDecodeRejectsDamagedMessages(t *testing.T) {
	good, err := SubscribeMessage(6, "a.test.", dns.TypePTR)
	require.NoError(t, err)
	for n := range good {
		if n == headerSize { // the header alone is a message without TLVs
			continue
		}
		_, err := Decode(good[:n])
		require.Error(t, err, n)
	}
	counted := append([]byte(nil), good...)
	counted[5] = 1
	_, err = Decode(counted)
	require.ErrorIs(t, err, ErrNotDSO)
}

// FuzzDecode: whatever arrives is read or refused; what is read keeps its bounds.
func FuzzDecode(f *testing.F) {
	subscribe, _ := SubscribeMessage(6, "a._engine._tcp.hall-a.test.", dns.TypeANY)
	f.Add(subscribe)
	f.Add(KeepaliveMessage(1, false, time.Minute, time.Minute))
	f.Add(RetryDelayMessage(2, time.Minute))
	f.Add(UnsubscribeMessage(3))
	for _, text := range []string{
		"a.test. 9 IN SRV 1 2 3 b.test.",
		"a.test. 9 IN TXT \"k=v\" \"\"",
		"a.test. 9 IN A 127.0.0.1",
		"a.test. 9 IN AAAA ::1",
	} {
		rr, err := dns.NewRR(text)
		if err != nil {
			f.Fatal(err)
		}
		all, err := ChangeMessages([]OutgoingChange{{RR: rr}, {RR: rr, Remove: true}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(all[0])
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := Decode(raw)
		if err != nil {
			return
		}
		if len(m.Changes) > maxChanges {
			t.Fatal("too many changes")
		}
		for _, c := range m.Changes {
			if c.Record.Name == "" || record.CanonicalName(c.Record.Name) != c.Record.Name {
				t.Fatalf("%q is no canonical name", c.Record.Name)
			}
		}
	})
}
