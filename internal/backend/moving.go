package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"standpoint"
	"standpoint/internal/node"
)

// Stream is an answer that is being passed on, as one process leaves it to another: with the two connections, of the
// client and of the backend, the other goes on from the next byte.
type Stream struct {
	Trace        string             `json:"trace"`
	Class        int                `json:"class"`
	Server       string             `json:"server"`
	Partial      []byte             `json:"begun"` // of an event that is not whole yet
	Size         int                `json:"size"`  // of all that came
	CachedTokens float64            `json:"kept"`
	Tokens       float64            `json:"tokens"`
	Report       *standpoint.Report `json:"report"`
	Done         bool               `json:"done"` // its last event has come
	ClientStall  time.Duration      `json:"held"`
	Chunks       chunks             `json:"chunks"`
}

// DecodeStream reads a stream that another process leaves.
func DecodeStream(raw []byte) (Stream, error) {
	var s Stream
	if err := json.Unmarshal(raw, &s); err != nil {
		return Stream{}, fmt.Errorf("a stream that cannot be read: %w", err)
	}
	c := &s.Chunks
	if len(s.Partial) > eventMost || s.Size < 0 || s.Size > streamMost || s.ClientStall < 0 || s.Trace == "" || c.Phase < inSize || c.Phase >= isOver ||
		c.Size < 0 || c.Size > streamMost || c.Line < 0 || c.Line > chunkLine || c.Phase == inData && c.Size == 0 {
		return Stream{}, errors.New("a stream that cannot be")
	}
	return s, nil
}

// passage is a stream that is passed on, as far as it has come.
type passage struct {
	begun  bool
	buffer []byte // of an event that is not whole yet
	end    tail
	size   int
	held   time.Duration
	passed time.Time     // when the latest event was passed on
	came   time.Time     // when the latest came that carried data
	pause  time.Duration // the longest in which the server sent nothing between two events; 0: not known
}

// silence is for how long the stream may say nothing before it is taken to be broken. A client that will ask another
// server for the rest loses its pace meanwhile, and all streams of a lost zone would come back at once.
func (p *passage) silence(resumes bool) time.Duration {
	if !resumes || p.pause == 0 {
		return streamQuiet
	}
	return min(streamQuiet, max(restQuiet, pausesQuiet*p.pause))
}

// endless tells that there are more events than the longest answer to the request can have.
func (p *passage) endless(maxTokens float64) bool {
	return maxTokens >= 1 && float64(p.end.events) > eventsMost*maxTokens+eventsMore
}

// live are the streams that are passed on now, and where they move to once they do.
type live struct {
	mu  sync.Mutex
	all map[*connection]bool
	to  func(s Stream, client, server int) error // nil: they stay
}

// add takes in a stream that has begun. One that begins after the others were asked to move does so too.
func (v *live) add(l *connection) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.all[l] = true
	if v.to != nil {
		l.freeze()
	}
}

func (v *live) remove(l *connection) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.all, l)
}

// HandOver has all begun streams that can move leave this process: to takes each, with its client's and its server's descriptor, and
// an error says that it was not taken. It returns how many are asked to move.
func (f *Fleet) HandOver(to func(s Stream, client, server int) error) int {
	f.live.mu.Lock()
	defer f.live.mu.Unlock()
	f.live.to = to
	n := 0
	for l := range f.live.all {
		if l.freeze() {
			n++
		}
	}
	return n
}

// leave moves a stream whose link was frozen. It ends here in any case: moved, or broken off.
func (v *live) leave(p *passage, a *node.Attempt, l *connection) (node.Result, error) {
	v.mu.Lock()
	to := v.to
	v.mu.Unlock()
	lost := node.Result{Code: standpoint.Cancelled}
	where, ok := l.where()
	if to == nil || !ok {
		return lost, errors.New("where the answer stands is not known")
	}
	server, err := duplicate(l.Conn)
	if err != nil {
		return lost, err
	}
	defer func() { _ = unix.Close(server) }()
	client, err := a.Detach()
	if err != nil {
		return lost, err
	}
	defer func() { _ = unix.Close(client) }()
	err = to(Stream{Trace: a.Request.Work.TraceID, Class: a.Request.Spec.Class, Server: a.Backend, Partial: p.buffer, Size: p.size, CachedTokens: p.end.kept,
		Tokens: p.end.tokens, Report: p.end.report, Done: p.end.done, ClientStall: p.held, Chunks: where}, client, server)
	return node.Result{Code: standpoint.Cancelled, Moved: err == nil}, err
}

// duplicate is another descriptor of a connection's socket. It outlives the connection's own.
func duplicate(c net.Conn) (int, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, errors.New("a connection without a descriptor")
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var fd int
	var failed error
	if err := raw.Control(func(own uintptr) { fd, failed = unix.FcntlInt(own, unix.F_DUPFD_CLOEXEC, 0) }); err != nil {
		return 0, err
	}
	return fd, failed
}

// DuplicateSocket is duplicate, for the clients' side.
func DuplicateSocket(c net.Conn) (int, error) { return duplicate(c) }

// Continue passes on a stream that another process has begun, from the next byte of its server's connection to its end.
func (f *Fleet) Continue(s Stream, server net.Conn, a *node.Attempt) {
	defer server.Close()
	ctx, cancel := context.WithCancelCause(a.Context())
	defer cancel(nil)
	l := &connection{Conn: server, keep: &keep{}, chunks: s.Chunks}
	defer context.AfterFunc(ctx, func() { _ = server.SetReadDeadline(time.Now()) })()
	p := &passage{begun: true, buffer: append(make([]byte, 0, readSize), s.Partial...), size: s.Size, held: s.ClientStall,
		end: tail{kept: s.CachedTokens, tokens: s.Tokens, report: s.Report, done: s.Done}}
	result, err := f.live.pass(ctx, cancel, &remainder{link: l, chunks: s.Chunks}, p, a, l)
	if err != nil {
		f.Log.Info("a stream that was taken over ended", zap.String("server", s.Server), zap.String("trace", s.Trace), zap.Bool("moved", result.Moved), zap.Error(err))
	}
	a.Finish(result)
}

// remainder is what is still to come of an answer in chunks.
type remainder struct {
	link    *connection
	chunks  chunks
	payload []byte // read and not asked for yet
}

func (r *remainder) Read(b []byte) (int, error) {
	for len(r.payload) == 0 {
		if r.chunks.Phase == isOver {
			return 0, io.EOF
		}
		raw := make([]byte, 4<<10)
		n, err := r.link.Read(raw)
		if bad := r.chunks.feed(raw[:n], func(p []byte) { r.payload = append(r.payload, p...) }); bad != nil && len(r.payload) == 0 && r.chunks.Phase != isOver {
			return 0, bad
		}
		if err == io.EOF && r.chunks.Phase != isOver {
			err = io.ErrUnexpectedEOF
		}
		if err != nil && len(r.payload) == 0 && r.chunks.Phase != isOver {
			return 0, err
		}
	}
	n := copy(b, r.payload)
	r.payload = r.payload[n:]
	return n, nil
}
