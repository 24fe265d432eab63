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
	// initialSyncTimeout is the time that the list and the instances' records may take to arrive. After it the session
	// becomes active without the missing records.
	initialSyncTimeout = 5 * time.Second
	// requestedKeepalive is the inactivity timeout and keep-alive interval requested from the server, which may specify
	// others.
	requestedKeepalive = 15 * time.Second
	// maxRetryDelay is the longest retry delay that is accepted from a server.
	maxRetryDelay = 10 * time.Minute
	// inboxSize is the number of received messages that may be queued.
	inboxSize = 64
)

// pushSession is one DNS Push session. It must be used by one goroutine; a second goroutine reads from conn.
type pushSession struct {
	*Browser
	conn      net.Conn
	cache     *record.Cache
	labels    map[string]string // instance labels by canonical name
	startedAt time.Time
	lastSent  time.Time // time at which the latest message was sent
	// keepaliveInterval is the time since the latest sent message after which a keep-alive is sent.
	keepaliveInterval time.Duration

	lastID      uint16 // id of the latest message sent with an id
	firstID     uint16 // id of the first message sent
	established bool   // whether the server has responded with a DSO message

	// subscriptions has the subscriptions by name; pending has those without a response yet, by id of the SUBSCRIBE
	// request. acked has the names acknowledged since the latest check was sent, ackedBeforeCheck those acknowledged
	// before that.
	subscriptions    map[string]subscription
	pending          map[uint16]subscription
	acked            map[string]bool
	ackedBeforeCheck map[string]bool

	// A check is a query for the zone's serial, which shows that the session is alive. checkID is the id of the query
	// in flight, or 0 if there is none.
	checkID     uint16
	checkSentAt time.Time
	silentTicks int // consecutive ticks without a received message

	// An audit is a query for the list, to be compared with the pushed list. auditID is the id of the query in flight,
	// or 0 if there is none.
	auditID       uint16
	auditSentAt   time.Time
	serial        *uint32 // serial of the zone in the latest check; nil before the first
	serialChanged bool    // whether the serial has changed since the latest audit was sent
	mismatches    int     // number of consecutive audits that differed

	active       bool      // whether the first snapshot has been published
	publishedAt  time.Time // time of the latest snapshot
	cacheChanged bool      // whether the cache has changed since the latest snapshot
	throttle     throttle
}

// newPushSession returns a session over conn with an empty cache.
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

// run runs the session until it fails, the server ends it or ctx is done. start is called before the first snapshot.
func (s *pushSession) run(ctx context.Context, start func()) error {
	done := make(chan struct{})
	defer close(done)
	inbox := make(chan []byte, inboxSize)
	ended := make(chan error, 1)
	// The reader ends when the caller closes the connection, or, while blocked on inbox, when done is closed.
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
			return fmt.Errorf("read from push connection: %w", readErr)
		case raw := <-inbox:
			s.silentTicks = 0
			err = s.receive(raw, inbox, start)
		case <-ticker.C:
			if len(inbox) == 0 {
				s.silentTicks++ // a queued message shows that the loop was busy, not that the server was silent
			}
			err = s.maintain(time.Now(), start)
		}
		if err != nil {
			return err
		}
	}
}

// handleRemaining handles the messages that were received before the connection ended.
func (s *pushSession) handleRemaining(inbox <-chan []byte) {
	for len(inbox) > 0 {
		if _, err := s.handleMessage(<-inbox, time.Now()); err != nil {
			return // run reports the end of the connection instead
		}
	}
}

// receive handles one message. If no other message is queued in inbox, it maintains the session as well.
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

// establish handles the first message, which shows whether the server supports DSO, and subscribes to the list.
func (s *pushSession) establish(raw []byte) error {
	m, err := push.Decode(raw)
	switch {
	case err == nil && m.Type == push.RetryDelay && !m.Response:
		return &retryDelayError{min(m.Delay, maxRetryDelay)}
	case !push.IsDSO(raw), err == nil && m.Response && m.ID == s.firstID && m.Rcode != dns.RcodeSuccess:
		return &pushUnavailableError{"the server does not support DSO"}
	case err != nil:
		return err
	}
	s.applyKeepalive(m)
	s.established = true
	return s.updateSubscriptions()
}

// maintain checks that the session is alive, adapts the subscriptions to the cache, and publishes a snapshot if one is
// due.
func (s *pushSession) maintain(now time.Time, start func()) error {
	if !s.established {
		if now.Sub(s.startedAt) > connectTimeout {
			return &pushUnavailableError{"no response to the first message"}
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

// publishIfDue publishes the first snapshot once the cache is complete or initialSyncTimeout has passed. Later it
// publishes a snapshot whenever the cache has changed, and every republishInterval.
func (s *pushSession) publishIfDue(now time.Time, start func()) error {
	if !s.cacheChanged && s.active && now.Sub(s.publishedAt) < republishInterval {
		return nil
	}
	if list := s.cache.Get(s.Service.ListName(), record.PTR); list == nil || list.ReceivedAt == 0 {
		if !s.active && now.Sub(s.startedAt) > initialSyncTimeout+connectTimeout {
			return errors.New("push server has not sent the list of instances")
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

// hasPending reports whether records of any instance have not been received yet.
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

// sendKeepalive sends a keep-alive request.
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

// nextID returns an id that no pending subscription, check or audit uses. It is never 0, which marks unidirectional
// messages.
func (s *pushSession) nextID() uint16 {
	s.lastID++
	for s.lastID == 0 || s.pending[s.lastID].id != 0 || s.lastID == s.checkID || s.lastID == s.auditID {
		s.lastID++
	}
	return s.lastID
}
