package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"standpoint"
	"standpoint/internal/backend"
	"standpoint/internal/edge"
	"standpoint/internal/handover"
	"standpoint/internal/node"
	"standpoint/internal/transient"
)

const (
	siblingPollInterval = 100 * time.Millisecond // between two looks for another process of this node, and for what it was told
	awaitPollInterval   = 10 * time.Millisecond
	awaitPushedList     = 1500 * time.Millisecond // for the first list, of a discovery that pushes and gives none
	maxAwait            = 4 * time.Second         // likewise, while a call stands in its line or another process serves; a new one has 6 s to say that it does
	learnedTimeout      = 500 * time.Millisecond  // for what the other has learned
	learnedPollInterval = 10 * time.Millisecond
	partDelay           = 600 * time.Millisecond // after which only those connections are open that have an answer under way, or rest
	passStreamsDelay    = 2 * time.Second        // after which streams that are not over move
	exitMargin          = 100 * time.Millisecond // before the kill, when this process is gone whatever hangs, or has no connection left but those with a request
)

// joinSiblings looks for other processes of this node, where staff may start a second one beside the first: both find each other
// in the folder that they share.
func (a *assembly) joinSiblings() {
	dir := os.Getenv("TMPDIR")
	if dir == "" || a.console == "" && !a.inheritsListener() {
		return
	}
	var err error
	if a.siblings, err = handover.Open(dir, a.name); err != nil {
		a.log.Error("TMPDIR: what processes of this node should share cannot be kept there", zap.Error(err))
		return
	}
	a.siblingCount = a.siblings.SiblingCount()
	a.limits = a.nodeLimits.PerProcess(1 + a.siblingCount)
	a.current.limits = a.limits
}

// inheritsListener tells that the platform holds the clients' listening socket.
func (a *assembly) inheritsListener() bool { return a.platform != nil && a.platform.ListenerFD != 0 }

// siblingsComponent looks out for the other processes, and takes in what they were told.
func siblingsComponent(a *assembly) (component, error) {
	if a.siblings == nil {
		return component{}, nil
	}
	known := a.siblingCount
	return component{name: "company", run: func(ctx context.Context) {
		go func() {
			if err := a.siblings.AcceptStreams(ctx, a.streamAdopter(ctx)); err != nil {
				a.log.Warn("streams cannot be taken over from another process", zap.Error(err))
			}
		}()
		tick := time.NewTicker(siblingPollInterval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			a.overrides.Sync()
			n := a.siblings.SiblingCount()
			if n == known {
				continue
			}
			if n > known {
				a.overrides.Keep()
				a.publishLearned(ctx)
			}
			known = n
			select {
			case a.siblingCounts <- n:
			case <-ctx.Done():
				return
			}
		}
	}, stop: a.siblings.Close}, nil
}

// publishLearned leaves what the module has learned to a process that takes over.
func (a *assembly) publishLearned(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, learnedTimeout)
	defer cancel()
	l := a.core.Learned(ctx)
	if l == nil {
		return
	}
	raw, err := json.Marshal(l)
	if err == nil {
		err = a.siblings.WriteLearned(raw)
	}
	if err != nil {
		a.log.Warn("what was learned does not go over", zap.Error(err))
	}
}

// restoreLearned takes what the process that serves has learned, once that has seen this one.
func (a *assembly) restoreLearned(stop context.Context, began time.Time) {
	if a.siblings == nil || a.siblingCount == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(stop, learnedTimeout)
	defer cancel()
	for ctx.Err() == nil {
		raw, ok := a.siblings.ReadLearned(began)
		if !ok {
			select {
			case <-time.After(learnedPollInterval):
			case <-ctx.Done():
			}
			continue
		}
		var l standpoint.Learned
		err := json.Unmarshal(raw, &l)
		if err == nil {
			err = a.core.Recall(ctx, &l)
		}
		a.log.Info("what the process before has learned", zap.Int("prompts", len(l.Prompts)),
			zap.Int("servers", len(l.Engines)), zap.Error(err))
		return
	}
	a.log.Info("the process before has left nothing that it learned")
}

// streamAdopter goes on with the streams that another process leaves.
func (a *assembly) streamAdopter(ctx context.Context) handover.StreamHandler {
	return func(text []byte, client, server net.Conn) bool {
		var m streamTransfer
		err := json.Unmarshal(text, &m)
		var s backend.Stream
		if err == nil {
			s, err = backend.DecodeStream(m.Stream)
		}
		if err != nil || a.lifecycle.Now() > node.DrainedByHand {
			a.log.Warn("a stream is not taken over", zap.Stringer("phase", a.lifecycle.Now()), zap.Error(err))
			return false
		}
		a.adoptedStreams.Go(func() {
			defer server.Close() // where there is no place for the request nobody carries it
			a.front.Adopt(ctx, client, s.Trace, m.Class, s.Held, func(attempt *node.Attempt) { a.backends.Carry(s, server, attempt) })
		})
		return true
	}
}

// streamTransfer is a stream on its way. Its class has a name: the other process's configuration may have others.
type streamTransfer struct {
	Class  string          `json:"class"`
	Stream json.RawMessage `json:"stream"`
}

// passStreams has the streams that are under way go on in the process that serves.
func (a *assembly) passStreams(log *zap.Logger) {
	n := a.backends.Move(func(s backend.Stream, client, server int) error {
		stream, err := json.Marshal(s)
		var text []byte
		if err == nil {
			text, err = json.Marshal(streamTransfer{a.front.ClassName(s.Class), stream})
		}
		if err == nil {
			err = a.siblings.PassStream(text, client, server)
		}
		if err != nil {
			log.Warn("a stream did not move", zap.String("trace", s.Trace), zap.Error(err))
		}
		return err
	})
	log.Info("streams move to the other process", zap.Int("streams", n))
}

// setSiblingCount divides the node's limits among its processes.
func (a *assembly) setSiblingCount(others int, room *edge.Room, log *zap.Logger) {
	a.siblingCount = others
	next := a.current
	next.limits = next.nodeLimits.PerProcess(1 + others)
	if err := a.reload(next); err != nil {
		log.Error("the limits stay as they were", zap.Error(err))
		return
	}
	applyLimits(next.limits)
	room.Resize(next.limits.MaxClientConnections())
	log.Info("processes of this node beside this one", zap.Int("others", others), zap.Any("limits", next.limits))
}

// listener is the clients' listening socket: the one that the platform holds, or a new one.
func (a *assembly) listener() (net.Listener, error) {
	if !a.inheritsListener() {
		l, err := transient.Listen("tcp", a.listen, a.log)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return l, nil
	}
	l, err := inheritedListener(a.platform.ListenerFD, a.listen)
	if err != nil {
		return nil, &ConfigError{fmt.Errorf("PROXY_SOCKET_FD: %w", err)}
	}
	return l, nil
}

// inheritedListener takes a descriptor for what it should be. Whether it is one is asked before anything is done with it: a number
// that was not handed down may be a descriptor of this program's own.
func inheritedListener(fd int, address string) (net.Listener, error) {
	if on, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || on == 0 {
		return nil, fmt.Errorf("descriptor %d is no listening socket", fd)
	}
	file := os.NewFile(uintptr(fd), "clients")
	defer file.Close()
	l, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	if want, err := net.ResolveTCPAddr("tcp", address); err != nil || l.Addr().String() != want.String() {
		l.Close()
		return nil, fmt.Errorf("descriptor %d listens at %v, not at %s", fd, l.Addr(), address)
	}
	return l, nil
}

// awaitEndpoints waits, for a bounded time, for the first word of the list's source, before anybody is served: the list that this process was
// started with is old, and servers may have been told to leave since. While another process of this node serves nobody waits for this
// one. Else a discovery that refuses, or cannot be reached, is not waited for where lists are asked for: nothing stands in its line,
// and the process has 6 s from its start to hear. A list that is pushed binds from its first moment.
func (a *assembly) awaitEndpoints(stop context.Context) {
	if a.endpointsReceived == nil {
		return
	}
	began := time.Now()
	tick := time.NewTicker(awaitPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-a.endpointsReceived:
			return
		case <-stop.Done():
			return
		case <-tick.C:
		}
		waited := time.Since(began)
		given := waited >= awaitPushedList || len(a.platform.KnownEndpoints) > 0 && a.platform.Settings.AskDiscovery
		alone := a.siblings == nil || a.siblings.SiblingCount() == 0
		if waited >= maxAwait || given && alone && a.discoveryFailing() {
			return
		}
	}
}

// handOver leads the program to its end while another process serves at the same socket. It stops accepting before it
// closes anything: what connects from then on is the other's.
func (a *assembly) handOver(room *edge.Room, killed time.Duration, log *zap.Logger) error {
	if err := a.lifecycle.Move(node.HandingOver); err != nil {
		return err
	}
	log.Info("handing over", zap.Int("open", a.core.Open()))
	if err := room.Close(); err != nil {
		log.Warn("the listening socket", zap.Error(err))
	}
	room.SendAway(true)
	most := shutdownTimeout
	if killed > 0 {
		most = killed
	}
	defer time.AfterFunc(most-killMargin, func() { a.core.HandBack(true) }).Stop()
	defer time.AfterFunc(passStreamsDelay, func() { a.passStreams(log) }).Stop()
	time.Sleep(partDelay) // Shutdown ends at once what rests; a client that asks again and again leaves with its next answer
	return a.finishDraining(room, most-partDelay-exitMargin, log)
}
