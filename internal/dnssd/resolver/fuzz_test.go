package resolver

import (
	"testing"

	"github.com/miekg/dns"

	"standpoint/internal/dnssd/record"
)

// Whatever a DNS server answers, what is put together of it is an instance or says its fault, and is bounded.
func FuzzAnswer(f *testing.F) {
	add := func(records ...string) {
		m := new(dns.Msg)
		m.SetQuestion("_e._tcp.test.", dns.TypePTR)
		m.Response = true
		for _, text := range records {
			rr, err := dns.NewRR(text)
			if err != nil {
				f.Fatal(err)
			}
			m.Answer = append(m.Answer, rr)
		}
		raw, err := m.Pack()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	add(
		"_e._tcp.test. 120 IN PTR a._e._tcp.test.",
		"a._e._tcp.test. 120 IN SRV 0 0 80 h.test.",
		"a._e._tcp.test. 120 IN TXT \"share=2\" \"=\" \"x\"",
		"h.test. 120 IN A 127.0.0.1",
		"test. 60 IN SOA a. b. 1 2 3 4 5",
	)
	add("_e._tcp.test. 4294967295 IN PTR a\\.\\000._e._tcp.test.", "h.test. 0 IN AAAA ::1")
	service := record.Service{Type: "_e._tcp", Domain: "test."}
	client := &Client{Domain: "test."}
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := new(dns.Msg)
		if m.Unpack(raw) != nil {
			return
		}
		a := client.parseAnswer(m, service.ListName(), record.PTR)
		v := record.NewCache()
		v.Put(record.Key{Name: service.ListName(), Kind: record.PTR}, a.Records, a.NegativeTTL, 1)
		for _, r := range a.Additional {
			if !record.Within(r.Name, "test.") {
				t.Fatalf("%q is none of the domain's", r.Name)
			}
			v.Add(r, 1)
		}
		names, _ := v.Instances(service)
		for _, name := range names {
			if in := v.Assemble(name, ""); in.Fault == nil && !in.Pending && !in.Address.IsValid() {
				t.Fatalf("%+v", in)
			}
		}
	})
}
