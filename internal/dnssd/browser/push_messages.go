package browser

import (
	"fmt"
	"time"

	"github.com/miekg/dns"

	"standpoint/internal/clock"
	"standpoint/internal/dnssd/push"
	"standpoint/internal/dnssd/record"
)

// handleMessage handles one message and reports whether the cache has changed. After an error the session must end.
func (s *pushSession) handleMessage(raw []byte, now time.Time) (changed bool, err error) {
	if !push.IsDSO(raw) {
		message := new(dns.Msg)
		if err := message.Unpack(raw); err != nil {
			return false, fmt.Errorf("decode DNS message: %w", err)
		}
		return s.handleQueryResponse(message, now)
	}
	message, err := push.Decode(raw)
	if err != nil {
		return false, err
	}
	if message.Response {
		return s.handleResponse(message)
	}
	switch message.Type {
	case push.Keepalive:
		s.applyKeepalive(message)
		return false, nil
	case push.RetryDelay:
		return false, &retryDelayError{min(message.Delay, maxRetryDelay)}
	case push.Push:
		return s.handlePush(message, now), nil
	case push.Padding:
		return false, nil
	}
	if message.ID != 0 { // a request of an unknown type
		return false, s.send(push.Response(message.ID, dns.RcodeStatefulTypeNotImplemented))
	}
	// An unknown unidirectional message is a fatal error (RFC 8490, 5.1.2).
	return false, fmt.Errorf("unidirectional DSO message of unknown type %#x", uint16(message.Type))
}

// applyKeepalive adopts the keep-alive interval of a Keepalive message: three quarters of it, up to requestedKeepalive.
func (s *pushSession) applyKeepalive(m push.Message) {
	if m.Type == push.Keepalive && m.Interval > 0 {
		s.keepaliveInterval = min(requestedKeepalive, m.Interval*3/4)
	}
}

// handlePush applies the changes of a PUSH message and reports whether the cache has changed.
func (s *pushSession) handlePush(m push.Message, now time.Time) (changed bool) {
	s.recordContact(Push, nil)
	s.Metrics.countPushedChanges(s.Browser, len(m.Changes))
	for _, change := range m.Changes {
		changed = s.applyChange(change, clock.Of(now)) || changed
	}
	return changed
}

// applyChange applies one change to the cache and reports whether the cache has changed. Changes to names that are not
// subscribed to are ignored.
func (s *pushSession) applyChange(change push.Change, now int64) bool {
	r := change.Record
	if _, subscribed := s.subscriptions[r.Name]; !subscribed {
		return false
	}
	switch {
	case change.All:
		return s.cache.Clear(r.Name, r.Kind, now)
	case change.Remove:
		return s.cache.Remove(r, now)
	}
	if r.Kind == record.PTR {
		if label, _, err := record.SplitInstance(r.Target); err == nil {
			s.labels[record.CanonicalName(r.Target)] = label
		}
	}
	return s.cache.Add(r, now)
}

// handleResponse handles the response to a request of this client and reports whether the cache has changed. It returns
// an error if the server rejected the subscription to the list.
func (s *pushSession) handleResponse(m push.Message) (changed bool, err error) {
	s.applyKeepalive(m)
	subscribed, ok := s.pending[m.ID]
	if !ok {
		return false, nil // the response to a keep-alive
	}
	delete(s.pending, m.ID)
	if m.Rcode == dns.RcodeSuccess {
		s.acked[subscribed.name] = true
		return false, nil
	}
	reason := "subscription rejected: " + dns.RcodeToString[m.Rcode]
	if subscribed.name == s.Service.ListName() {
		return false, &pushUnavailableError{reason}
	}
	for _, kind := range []record.Kind{record.SRV, record.TXT, record.A, record.AAAA} {
		s.cache.RecordFailure(record.Key{Name: subscribed.name, Kind: kind}, reason, 0)
	}
	return true, nil
}

// handleQueryResponse handles the response to a liveness check or an audit and reports whether the cache has changed.
// All other responses to queries are ignored.
func (s *pushSession) handleQueryResponse(response *dns.Msg, now time.Time) (changed bool, err error) {
	switch {
	case response.Id == s.checkID && s.checkID != 0:
		return s.handleCheckResponse(response, now)
	case response.Id == s.auditID && s.auditID != 0:
		s.auditID = 0
		return false, s.compareList(response)
	}
	return false, nil
}
