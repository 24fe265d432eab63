package browser

import (
	"github.com/miekg/dns"

	"standpoint/internal/dnssd/push"
	"standpoint/internal/dnssd/record"
)

const (
	// maxSubscriptions is the maximum number of subscribed names per session: each name may fill four sets of the
	// cache.
	maxSubscriptions = record.MaxSets / 4
	// maxPendingSubscriptions is the maximum number of SUBSCRIBE requests without a response, so that unused message
	// ids remain.
	maxPendingSubscriptions = 1 << 15
)

// subscription is the subscription to a name's records.
type subscription struct {
	id   uint16 // message id of the SUBSCRIBE request
	name string // canonical name
	kind uint16 // record type, or dns.TypeANY
}

// updateSubscriptions subscribes to the names that the instances in the cache need, and ends all other subscriptions.
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

// subscribe subscribes to a name, unless it is already subscribed to or a limit is reached.
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

// unsubscribeExcept ends the subscriptions to names that are not required, and deletes their records from the cache.
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

// subscribedKinds returns the record types that are needed at a name.
func (s *pushSession) subscribedKinds(name string) []record.Kind {
	switch {
	case name == s.Service.ListName():
		return []record.Kind{record.PTR}
	case record.Within(name, s.Service.BaseName()):
		return []record.Kind{record.SRV, record.TXT}
	}
	return []record.Kind{record.A, record.AAAA}
}

// subscribedKeys returns the keys of all record types at all subscribed names.
func (s *pushSession) subscribedKeys() map[record.Key]bool {
	keys := map[record.Key]bool{}
	for name := range s.subscriptions {
		for _, kind := range []record.Kind{record.PTR, record.SRV, record.TXT, record.A, record.AAAA} {
			keys[record.Key{Name: name, Kind: kind}] = true
		}
	}
	return keys
}
