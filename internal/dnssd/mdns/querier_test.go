package mdns

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/miekg/dns"
	"github.com/stretchr/testify/require"

	"standpoint/internal/dnssd/record"
)

var service = record.Service{Type: "_engine._tcp", Domain: "local"}

// newTestQuerier returns a querier without jitter.
func newTestQuerier() *Querier { return New(service, func() float64 { return 0 }) }

// parseRR parses a record in presentation form.
func parseRR(t testing.TB, text string) dns.RR {
	t.Helper()
	r, err := dns.NewRR(text)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// response returns a response with the given records; "!" before a record sets its cache-flush bit.
func response(t testing.TB, records ...string) *dns.Msg {
	t.Helper()
	m := &dns.Msg{MsgHdr: dns.MsgHdr{Response: true, Authoritative: true}}
	for _, text := range records {
		text, flush := strings.CutPrefix(text, "!")
		r := parseRR(t, text)
		if flush {
			r.Header().Class |= 0x8000
		}
		m.Answer = append(m.Answer, r)
	}
	return m
}

const listName = "_engine._tcp.local."

// instanceRecords returns the records of one instance: PTR, SRV, TXT and A.
func instanceRecords(name string, port int) []string {
	return []string{
		listName + " 120 IN PTR " + name + "." + listName,
		fmt.Sprintf("!%s.%s 120 IN SRV 0 0 %d %s.local.", name, listName, port, name),
		"!" + name + "." + listName + ` 120 IN TXT "site=a"`,
		"!" + name + ".local. 120 IN A 127.0.0.1",
	}
}

// resolvedInstances returns the labels and ports of the instances without a fault.
func resolvedInstances(querier *Querier) (all []string) {
	cache, labels := querier.Cache(0)
	list, _ := cache.Instances(service)
	for _, name := range list {
		if in := cache.Assemble(name, labels[name]); in.Fault == nil {
			all = append(all, fmt.Sprint(in.Label, " ", in.Address.Port()))
		}
	}
	return all
}

// Guards against a flood of queries: the first is sent after 20 to 120 ms, the interval doubles, and known answers are
// included.
func TestQuestionsBackOffAndCarryKnownAnswers(t *testing.T) {
	querier := newTestQuerier()
	m, next := querier.PendingQueries(0)
	require.Empty(t, m)
	require.Equal(t, minInitialDelay, next)
	var at []time.Duration
	for now := next; now < 20*time.Second; now = next {
		if m, next = querier.PendingQueries(now); len(m) > 0 {
			require.Equal(t, listName, m[0].Question[0].Name)
			at = append(at, now.Round(time.Second))
		}
	}
	require.Equal(t, []time.Duration{0, time.Second, 3 * time.Second, 7 * time.Second, 15 * time.Second}, at)

	querier = newTestQuerier()
	querier.PendingQueries(0)
	require.True(t, querier.Handle(response(t, append(instanceRecords("a", 1), instanceRecords("b", 2)...)...), 0))
	m, _ = querier.PendingQueries(minInitialDelay)
	require.Len(t, m, 1)
	require.Len(t, m[0].Question, 1, "all other records are cached")
	require.Len(t, m[0].Answer, 2)
	// After half of its TTL a record is no longer included as a known answer.
	m, _ = querier.PendingQueries(61 * time.Second)
	require.Len(t, m, 1)
	require.Empty(t, m[0].Answer)
}

// Guards against oversized messages and omitted known answers: those that do not fit must follow in further messages,
// with the TC bit set in all but the last.
func TestKnownAnswersContinueInFurtherMessages(t *testing.T) {
	querier := newTestQuerier()
	for i := range 200 {
		querier.Handle(response(t, instanceRecords(fmt.Sprintf("some-long-name-of-a-box-%d", i), 1+i)...), 0)
	}
	querier.PendingQueries(0)
	m, _ := querier.PendingQueries(minInitialDelay)
	require.Greater(t, len(m), 2)
	known := 0
	for i, one := range m {
		require.Equal(t, i < len(m)-1, one.Truncated)
		require.Equal(t, i == 0, len(one.Question) > 0)
		raw, err := one.Pack()
		require.NoError(t, err)
		require.Less(t, len(raw), 1500)
		known += len(one.Answer)
	}
	require.Equal(t, 200, known)
}

// Guards against records that remain valid after a goodbye, a cache flush without them, or the end of their TTL, and
// against the loss of records that are received again within the grace period.
func TestRecordsEndByGoodbyeFlushAndExpiry(t *testing.T) {
	querier := newTestQuerier()
	querier.Handle(response(t, append(instanceRecords("a", 1), instanceRecords("b", 2)...)...), 0)
	require.Equal(t, []string{"a 1", "b 2"}, resolvedInstances(querier))
	now := 10 * time.Second
	require.True(t, querier.Handle(response(t, listName+" 0 IN PTR a."+listName), now))
	require.False(t, querier.Expire(now+GracePeriod/2))
	require.True(t, querier.Expire(now+GracePeriod))
	require.Equal(t, []string{"b 2"}, resolvedInstances(querier))
	// A goodbye, and the record again within the grace period: it remains valid.
	querier.Handle(response(t, listName+" 0 IN PTR b."+listName), now)
	require.True(t, querier.Handle(response(t, listName+" 120 IN PTR b."+listName), now+GracePeriod/2))
	require.False(t, querier.Expire(now+2*GracePeriod))
	require.Equal(t, []string{"b 2"}, resolvedInstances(querier))
	// A new target with the cache-flush bit replaces the old one.
	now += time.Second
	require.True(t, querier.Handle(response(t, "!b."+listName+" 120 IN SRV 0 0 9 b.local."), now))
	querier.Expire(now + GracePeriod)
	require.Equal(t, []string{"b 9"}, resolvedInstances(querier))
	// Records of a unique set that is split into two messages are all retained.
	querier.Handle(response(t, "!b.local. 120 IN A 127.0.0.2"), now)
	querier.Handle(response(t, "!b.local. 120 IN A 127.0.0.3"), now+GracePeriod/2)
	cache, _ := querier.Cache(0)
	require.Len(t, cache.Records("b.local.", record.A), 3)
	querier.Expire(now + 130*time.Second)
	require.Empty(t, resolvedInstances(querier))
}

// Guards against records that expire without a refresh: a record must be queried at 80, 85, 90 and 95% of its TTL.
func TestRecordsAreRefreshedBeforeTheyExpire(t *testing.T) {
	querier := newTestQuerier()
	querier.Handle(response(t, instanceRecords("a", 1)...), 0)
	querier.PendingQueries(0)
	asked := map[time.Duration]int{}
	for now := time.Duration(0); now < 119*time.Second; now += time.Second {
		m, _ := querier.PendingQueries(now)
		for _, one := range m {
			for _, question := range one.Question {
				if question.Qtype == dns.TypeSRV {
					asked[now]++
				}
			}
		}
	}
	require.Equal(
		t,
		map[time.Duration]int{96 * time.Second: 1, 102 * time.Second: 1, 108 * time.Second: 1, 114 * time.Second: 1},
		asked,
	)
}

// Guards against records accepted from queries, from responses with an error code, or from another domain.
func TestIrrelevantMessagesAreIgnored(t *testing.T) {
	querier := newTestQuerier()
	m := response(t, instanceRecords("a", 1)...)
	m.Response = false
	require.False(t, querier.Handle(m, 0))
	m = response(t, instanceRecords("a", 1)...)
	m.Rcode = dns.RcodeServerFailure
	require.False(t, querier.Handle(m, 0))
	require.False(t, querier.Handle(response(t, "x.elsewhere. 120 IN A 127.0.0.1"), 0))
}

// FuzzHandle checks that after any message the querier's own messages can be packed, its next call is later than now,
// and instances without a fault have an address and a port.
func FuzzHandle(f *testing.F) {
	for _, records := range [][]string{
		instanceRecords("a", 1),
		{listName + " 0 IN PTR a." + listName},
		{"!a." + listName + " 120 IN SRV 0 0 0 ."},
		{`!a.` + listName + ` 120 IN TXT "=x" "K=1" "k=2" "" "born_ms"`},
		{"!a.local. 120 IN AAAA ::1"},
		{listName + ` 9 IN PTR Hall\032A\.7\255.` + listName},
	} {
		raw, err := response(f, records...).Pack()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		querier := newTestQuerier()
		querier.Handle(response(t, instanceRecords("known", 7)...), 0)
		m := new(dns.Msg)
		if m.Unpack(raw) != nil {
			return
		}
		querier.Handle(m, time.Second)
		cache, labels := querier.Cache(0)
		list, _ := cache.Instances(service)
		for _, name := range list {
			in := cache.Assemble(name, labels[name])
			if in.Fault == nil &&
				(!in.Address.IsValid() || in.Address.Port() == 0 || net.ParseIP(in.Address.Addr().String()) == nil) {
				t.Fatalf("%+v has no address", in)
			}
		}
		for _, now := range []time.Duration{time.Second, 2 * time.Second, time.Hour} {
			querier.Expire(now)
			messages, next := querier.PendingQueries(now)
			if next <= now {
				t.Fatal("next call is not later than now")
			}
			for _, m := range messages {
				if _, err := m.Pack(); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}
