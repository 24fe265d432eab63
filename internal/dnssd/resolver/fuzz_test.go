package resolver

import (
	"testing"

	"github.com/miekg/dns"

	"standpoint/internal/dnssd/record"
)

// FuzzResponse checks that any response yields additional records within the domain, and instances that have an address
// unless they have a fault or are pending.
func FuzzResponse(f *testing.F) {
	add := func(records ...string) {
		message := new(dns.Msg)
		message.SetQuestion("_e._tcp.test.", dns.TypePTR)
		message.Response = true
		for _, text := range records {
			rr, err := dns.NewRR(text)
			if err != nil {
				f.Fatal(err)
			}
			message.Answer = append(message.Answer, rr)
		}
		raw, err := message.Pack()
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
		message := new(dns.Msg)
		if message.Unpack(raw) != nil {
			return
		}
		response := client.parseResponse(message, service.ListName(), record.PTR)
		cache := record.NewCache()
		cache.Put(record.Key{Name: service.ListName(), Kind: record.PTR}, response.Records, response.NegativeTTL, 1)
		for _, r := range response.Additional {
			if !record.Within(r.Name, "test.") {
				t.Fatalf("additional record %q is outside the domain", r.Name)
			}
			cache.Add(r, 1)
		}
		names, _ := cache.Instances(service)
		for _, name := range names {
			if instance := cache.Assemble(name, ""); instance.Fault == nil && !instance.Pending &&
				!instance.Address.IsValid() {
				t.Fatalf("instance without a fault has no address: %+v", instance)
			}
		}
	})
}
