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
	// checkInterval is the time between two queries for the zone's serial over the session. If a check is in flight and
	// no message arrives for more than maxSilentTicks, the session is considered dead and polling resumes, in less than
	// 500 ms altogether.
	checkInterval = 150 * time.Millisecond
	// tickInterval is the time between two runs of the session's maintenance.
	tickInterval = checkInterval / 3
	// maxSilentTicks is the number of ticks without a message that an active session tolerates while a check is in
	// flight.
	maxSilentTicks = 4
	// minAuditInterval is the shortest time between two audits, which compare the pushed list with the queried one.
	minAuditInterval = time.Second
	// maxMismatches is the number of consecutive audits that may differ. One may, as a PUSH message can still be in
	// flight.
	maxMismatches = 1
)

// checkLiveness sends a check if one is due, and returns an error once the server has been silent for too long.
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

// checkSilence returns an error if no message has been received for too many ticks.
func (s *pushSession) checkSilence() error {
	limit := maxSilentTicks
	if !s.active {
		limit = int(initialSyncTimeout / tickInterval) // the initial transfer of records may delay the response
	}
	if s.silentTicks > limit {
		return fmt.Errorf("push server sent no message for %v", time.Duration(s.silentTicks)*tickInterval)
	}
	return nil
}

// handleCheckResponse handles the response to a check, starts an audit if one is due, and reports whether the cache has
// changed.
func (s *pushSession) handleCheckResponse(response *dns.Msg, now time.Time) (changed bool, err error) {
	s.checkID = 0
	s.recordContact(Push, nil)
	changed = s.storeMissingAsEmpty(now)
	for _, rr := range response.Answer {
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

// storeMissingAsEmpty stores as empty those sets whose subscription was acknowledged before the check was sent and for
// which no record has been pushed by the response to the check: the server would have sent the records before that
// response. It reports whether the cache has changed.
func (s *pushSession) storeMissingAsEmpty(now time.Time) (changed bool) {
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

// startAuditIfDue queries the list if the serial has changed since the latest audit was sent or that audit differed,
// unless an audit is in flight or was sent within minAuditInterval.
func (s *pushSession) startAuditIfDue(now time.Time) error {
	if !s.serialChanged && s.mismatches == 0 || s.auditID != 0 || now.Sub(s.auditSentAt) <= minAuditInterval {
		return nil
	}
	s.auditID = s.nextID()
	s.auditSentAt = now
	s.serialChanged = false
	return s.sendQuery(s.auditID, s.Service.ListName(), dns.TypePTR)
}

// compareList compares the queried list with the pushed one. If more than maxMismatches consecutive audits differ, the
// server has not pushed a change, and the returned error ends the session.
func (s *pushSession) compareList(response *dns.Msg) error {
	if response.Rcode != dns.RcodeSuccess && response.Rcode != dns.RcodeNameError || response.Truncated {
		return nil
	}
	queried := map[string]bool{}
	for _, rr := range response.Answer {
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
		return errors.New("push server has not pushed a change of the list")
	}
	return nil
}
