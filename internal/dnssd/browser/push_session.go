package browser

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/miekg/dns"
	"go.uber.org/zap"

	"standpoint/internal/dnssd/push"
	"standpoint/internal/dnssd/record"
)

const (
	// initialSyncTimeout is how long the list and its records may take before a session counts as active without those
	// that are missing.
	initialSyncTimeout = 5 * time.Second
	// requestedKeepalive is the time between two keep-alives that is asked of the server, which may say otherwise.
	requestedKeepalive = 15 * time.Second
	// maxRetryDelay bounds how long a server may keep this client away.
	maxRetryDelay = 10 * time.Minute
	inboxSize     = 64
)

// pushSession is one DNS Push session. It belongs to one goroutine, beside the one that reads from conn.
type pushSession struct {
	*Browser
	conn      net.Conn
	cache     *record.Cache
	labels    map[string]string // of instances, by canonical name
	startedAt time.Time
	lastSent  time.Time
	// keepaliveInterval is the time without another message after which a keep-alive is sent.
	keepaliveInterval time.Duration

	lastID      uint16 // of the messages sent
	firstID     uint16 // of the first message
	established bool   // the server has shown that it speaks DSO

	// subscriptions is by name, pending by the id of SUBSCRIBE requests that have no response yet. acked are the names
	// acknowledged since the last check was sent, ackedBeforeCheck those acknowledged before it.
	subscriptions    map[string]subscription
	pending          map[uint16]subscription
	acked            map[string]bool
	ackedBeforeCheck map[string]bool

	// The check that is under way: a query for the zone's serial. checkID is 0 if there is none.
	checkID     uint16
	checkSentAt time.Time
	silentTicks int // consecutive ticks without a message

	// The audit that is under way: a query for the list. auditID is 0 if there is none.
	auditID       uint16
	auditSentAt   time.Time
	serial        *uint32
	serialChanged bool // since the last audit was sent
	mismatches    int  // consecutive audits that differed

	active       bool // the first snapshot has been published
	publishedAt  time.Time
	cacheChanged bool // since the last snapshot
	throttle     throttle
}

func newPushSession(b *Browser, conn net.Conn) *pushSession {
	return &pushSession{
		Browser:           b,
		conn:              conn,
		cache:             record.NewCache(),
		labels:            map[string]string{},
		startedAt:         time.Now(),
		keepaliveInterval: requestedKeepalive,
		subscriptions:     map[string]subscription{},
		pending:           map[uint16]subscription{},
		acked:             map[string]bool{},
		ackedBeforeCheck:  map[string]bool{},
	}
}

// run has the session until it fails, the server ends it or ctx ends. start is called before the first snapshot.
func (s *pushSession) run(ctx context.Context, start func()) error {
	done := make(chan struct{})
	defer close(done)
	inbox := make(chan []byte, inboxSize)
	ended := make(chan error, 1)
	// The reader ends when the caller closes the connection, or by done if it waits for the inbox.
	go func() { ended <- readMessages(s.conn, inbox, done) }()
	if err := s.sendKeepalive(); err != nil {
		return err
	}
	s.firstID = s.lastID
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case readErr := <-ended:
			s.handleRemaining(inbox)
			return fmt.Errorf("the connection ended: %w", readErr)
		case raw := <-inbox:
			s.silentTicks = 0
			err = s.receive(raw, inbox, start)
		case <-ticker.C:
			if len(inbox) == 0 {
				s.silentTicks++ // time in which this loop was busy itself does not count
			}
			err = s.maintain(time.Now(), start)
		}
		if err != nil {
			return err
		}
	}
}

// handleRemaining takes in the messages that came before the connection ended.
func (s *pushSession) handleRemaining(inbox <-chan []byte) {
	for len(inbox) > 0 {
		if _, err := s.handleMessage(<-inbox, time.Now()); err != nil {
			return // the end of the connection is what is reported
		}
	}
}

// receive handles one message, and once no other waits in inbox goes over the session.
func (s *pushSession) receive(raw []byte, inbox <-chan []byte, start func()) error {
	now := time.Now()
	if !s.established {
		return s.establish(raw)
	}
	changed, err := s.handleMessage(raw, now)
	if err != nil {
		return err
	}
	s.cacheChanged = s.cacheChanged || changed
	if len(inbox) > 0 || s.throttle.remaining(now) > 0 {
		return nil
	}
	return s.maintain(now, start)
}

// establish handles the first message, which shows whether the server speaks DSO, and subscribes to the list.
func (s *pushSession) establish(raw []byte) error {
	m, err := push.Decode(raw)
	switch {
	case err == nil && m.Type == push.RetryDelay && !m.Response:
		return &retryDelayError{min(m.Delay, maxRetryDelay)}
	case !push.IsDSO(raw), err == nil && m.Response && m.ID == s.firstID && m.Rcode != dns.RcodeSuccess:
		return &pushUnavailableError{"it does not speak DSO"}
	case err != nil:
		return err
	}
	s.applyKeepalive(m)
	s.established = true
	return s.updateSubscriptions()
}

// maintain checks that the session lives, follows the cache with the subscriptions, and publishes what has changed.
func (s *pushSession) maintain(now time.Time, start func()) error {
	if !s.established {
		if now.Sub(s.startedAt) > connectTimeout {
			return &pushUnavailableError{"no answer to the first message"}
		}
		return nil
	}
	if err := s.checkLiveness(now); err != nil {
		return err
	}
	if s.throttle.remaining(now) > 0 {
		return nil
	}
	if s.cacheChanged {
		if err := s.updateSubscriptions(); err != nil {
			return err
		}
	}
	if err := s.publishIfDue(now, start); err != nil {
		return err
	}
	if s.cacheChanged {
		s.cacheChanged = false
		s.throttle.record(now, time.Now())
	}
	return nil
}

// publishIfDue publishes the cache once it is complete, or has had initialSyncTimeout to become so; then whenever it
// has changed, and every republishInterval.
func (s *pushSession) publishIfDue(now time.Time, start func()) error {
	if !s.cacheChanged && s.active && now.Sub(s.publishedAt) < republishInterval {
		return nil
	}
	if list := s.cache.Get(s.Service.ListName(), record.PTR); list == nil || list.ReceivedAt == 0 {
		if !s.active && now.Sub(s.startedAt) > initialSyncTimeout+connectTimeout {
			return errors.New("the list was not pushed")
		}
		return nil
	}
	state := Snapshot{Serial: s.serial, Mechanism: Push, ObservedAt: now}
	snapshot := newSnapshot(s.cache, s.Service, s.labels, state)
	if !s.active {
		if now.Sub(s.startedAt) < initialSyncTimeout && hasPending(snapshot) {
			return nil
		}
		s.active = true
		start()
		s.recordContact(Push, nil)
		s.Log.Info("push session active",
			zap.String("server", s.conn.RemoteAddr().String()), zap.Int("instances", len(snapshot.Instances)))
	}
	s.publishedAt = now
	s.Publish(snapshot)
	return nil
}

// hasPending reports whether records of any instance are still to come.
func hasPending(snapshot Snapshot) bool {
	for _, instance := range snapshot.Instances {
		if instance.Pending {
			return true
		}
	}
	return false
}

// send writes one message.
func (s *pushSession) send(raw []byte) error {
	s.lastSent = time.Now()
	return writeMessage(s.conn, raw, s.lastSent)
}

func (s *pushSession) sendKeepalive() error {
	return s.send(push.KeepaliveMessage(s.nextID(), false, requestedKeepalive, requestedKeepalive))
}

// sendQuery sends an ordinary DNS query over the session.
func (s *pushSession) sendQuery(id uint16, name string, kind uint16) error {
	query := new(dns.Msg).SetQuestion(name, kind)
	query.Id = id
	query.RecursionDesired = false
	raw, err := query.Pack()
	if err != nil {
		return err
	}
	return s.send(raw)
}

// nextID is an id that no request under way has; it is never 0, which marks unidirectional messages.
func (s *pushSession) nextID() uint16 {
	s.lastID++
	for s.lastID == 0 || s.pending[s.lastID].id != 0 || s.lastID == s.checkID || s.lastID == s.auditID {
		s.lastID++
	}
	return s.lastID
}
