package browser

import (
	"github.com/miekg/dns"

	"standpoint/internal/dnssd/push"
	"standpoint/internal/dnssd/record"
)

const (
	// maxSubscriptions bounds the names of one session: each may fill four sets of the cache.
	maxSubscriptions = record.MaxSets / 4
	// maxPendingSubscriptions bounds the requests without a response, so that free ids remain.
	maxPendingSubscriptions = 1 << 15
)

// subscription is one name's, by the id of its SUBSCRIBE request.
type subscription struct {
	id   uint16
	name string
	kind uint16
}

// updateSubscriptions subscribes to the names that the cache needs by now, and ends the subscriptions to all others.
func (s *pushSession) updateSubscriptions() error {
	list := s.Service.ListName()
	if err := s.subscribe(list, dns.TypePTR); err != nil {
		return err
	}
	names, _ := s.cache.Instances(s.Service)
	required := map[string]bool{list: true}
	for _, name := range names {
		for _, key := range s.cache.RequiredKeys(name) {
			required[key.Name] = true
			if err := s.subscribe(key.Name, dns.TypeANY); err != nil {
				return err
			}
		}
	}
	if len(s.subscriptions) == len(required) {
		return nil
	}
	return s.unsubscribeExcept(required)
}

// subscribe subscribes to a name, unless it is subscribed to or the bounds are reached.
func (s *pushSession) subscribe(name string, kind uint16) error {
	if _, ok := s.subscriptions[name]; ok {
		return nil
	}
	if len(s.subscriptions) >= maxSubscriptions || len(s.pending) >= maxPendingSubscriptions {
		return nil
	}
	added := subscription{id: s.nextID(), name: name, kind: kind}
	raw, err := push.SubscribeMessage(added.id, name, kind)
	if err != nil {
		return err
	}
	s.subscriptions[name] = added
	s.pending[added.id] = added
	return s.send(raw)
}

// unsubscribeExcept ends the subscriptions to names that are not required, and drops their records.
func (s *pushSession) unsubscribeExcept(required map[string]bool) error {
	dropped := false
	for name, ended := range s.subscriptions {
		if required[name] {
			continue
		}
		delete(s.subscriptions, name)
		dropped = true
		if err := s.send(push.UnsubscribeMessage(ended.id)); err != nil {
			return err
		}
	}
	if dropped {
		s.cache.Retain(s.subscribedKeys())
	}
	return nil
}

// subscribedKinds are the kinds of records that are needed of a name.
func (s *pushSession) subscribedKinds(name string) []record.Kind {
	switch {
	case name == s.Service.ListName():
		return []record.Kind{record.PTR}
	case record.Within(name, s.Service.BaseName()):
		return []record.Kind{record.SRV, record.TXT}
	}
	return []record.Kind{record.A, record.AAAA}
}

// subscribedKeys are the keys of all names that are subscribed to.
func (s *pushSession) subscribedKeys() map[record.Key]bool {
	keys := map[record.Key]bool{}
	for name := range s.subscriptions {
		for _, kind := range []record.Kind{record.PTR, record.SRV, record.TXT, record.A, record.AAAA} {
			keys[record.Key{Name: name, Kind: kind}] = true
		}
	}
	return keys
}
