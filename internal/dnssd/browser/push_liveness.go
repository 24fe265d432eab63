package browser

import (
	"errors"
	"fmt"
	"time"

	"github.com/miekg/dns"

	"standpoint/internal/clock"
	"standpoint/internal/dnssd/record"
)

const (
	// checkInterval is the time between two queries for the zone's serial over the session. If the check is under way
	// and nothing arrives for maxSilentTicks, the session has died silently, and polling takes over: together under
	// 500 ms.
	checkInterval  = 150 * time.Millisecond
	tickInterval   = checkInterval / 3
	maxSilentTicks = 4
	// minAuditInterval is the shortest time between two comparisons of the pushed list with the queried one.
	minAuditInterval = time.Second
	// maxMismatches is how many audits in a row may differ; one may, as a change can be on its way.
	maxMismatches = 1
)

// checkLiveness sends the check that is due, and returns an error once the server has been silent for too long.
func (s *pushSession) checkLiveness(now time.Time) error {
	if s.checkID != 0 {
		return s.checkSilence()
	}
	if now.Sub(s.checkSentAt) < checkInterval {
		return nil
	}
	if now.Sub(s.lastSent) > s.keepaliveInterval {
		if err := s.sendKeepalive(); err != nil {
			return err
		}
	}
	s.checkID = s.nextID()
	s.checkSentAt = now
	s.ackedBeforeCheck = s.acked
	s.acked = map[string]bool{}
	return s.sendQuery(s.checkID, s.domain, dns.TypeSOA)
}

func (s *pushSession) checkSilence() error {
	limit := maxSilentTicks
	if !s.active {
		limit = int(initialSyncTimeout / tickInterval) // the server has much to send first
	}
	if s.silentTicks > limit {
		return fmt.Errorf("the server has been silent for %v", time.Duration(s.silentTicks)*tickInterval)
	}
	return nil
}

// handleCheckAnswer handles the answer to a check, and starts an audit where the serial has changed.
func (s *pushSession) handleCheckAnswer(m *dns.Msg, now time.Time) (changed bool, err error) {
	s.checkID = 0
	s.recordContact(Push, nil)
	changed = s.markMissing(now)
	for _, rr := range m.Answer {
		soa, ok := record.Decode(rr)
		if !ok || soa.Kind != record.SOA {
			continue
		}
		s.serialChanged = s.serialChanged || s.serial == nil || *s.serial != soa.Serial
		s.serial = &soa.Serial
		if err := s.startAuditIfDue(now); err != nil {
			return changed, err
		}
	}
	return changed, nil
}

// markMissing notes as empty the sets that the server has acknowledged before the check and not pushed by its answer:
// it would have sent their records first. It reports whether the cache has changed.
func (s *pushSession) markMissing(now time.Time) (changed bool) {
	for name := range s.ackedBeforeCheck {
		for _, kind := range s.subscribedKinds(name) {
			if set := s.cache.Get(name, kind); set == nil || set.ReceivedAt == 0 {
				changed = s.cache.Put(record.Key{Name: name, Kind: kind}, nil, 0, clock.Of(now)) || changed
			}
		}
	}
	s.ackedBeforeCheck = map[string]bool{}
	return changed
}

// startAuditIfDue queries the list if the zone has changed since the last audit, or that audit differed.
func (s *pushSession) startAuditIfDue(now time.Time) error {
	if !s.serialChanged && s.mismatches == 0 || s.auditID != 0 || now.Sub(s.auditSentAt) <= minAuditInterval {
		return nil
	}
	s.auditID = s.nextID()
	s.auditSentAt = now
	s.serialChanged = false
	return s.sendQuery(s.auditID, s.Service.ListName(), dns.TypePTR)
}

// compareList compares the queried list with the pushed one. A difference that stays was not pushed: the session cannot
// be relied upon, and is ended by the error.
func (s *pushSession) compareList(m *dns.Msg) error {
	if m.Rcode != dns.RcodeSuccess && m.Rcode != dns.RcodeNameError || m.Truncated {
		return nil
	}
	queried := map[string]bool{}
	for _, rr := range m.Answer {
		if r, ok := record.Decode(rr); ok && r.Kind == record.PTR && r.Name == s.Service.ListName() {
			queried[record.CanonicalName(r.Target)] = true
		}
	}
	matching := 0
	pushed := s.cache.Records(s.Service.ListName(), record.PTR)
	for _, r := range pushed {
		if queried[record.CanonicalName(r.Target)] {
			matching++
		}
	}
	if matching == len(queried) && matching == len(pushed) {
		s.mismatches = 0
		return nil
	}
	s.mismatches++
	if s.mismatches > maxMismatches {
		return errors.New("the server has changed the list without pushing it")
	}
	return nil
}
