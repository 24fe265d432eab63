package backend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"standpoint"
	"standpoint/internal/node"
)

// stream passes an answer on, whole events at a time, as they come. The first claims the request. What is no event
// is not passed on, and the stream ends there, broken.
func (s *server) stream(ctx context.Context, cancel context.CancelCauseFunc, response *http.Response,
	a *node.Attempt, l *connection) (node.Result, error) {
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		return node.Result{Code: standpoint.ServerError}, errors.New("an answer whose end cannot be told from a break")
	}
	p := &passage{buffer: make([]byte, 0, readSize), end: tail{report: parseReport(response.Header.Get(LoadHeader))}}
	if response.ContentLength >= 0 {
		l = nil // it does not come in chunks, and cannot move
	}
	return s.live.pass(ctx, cancel, response.Body, p, a, l)
}

// pass carries a stream on to its end. l, if not nil, is the link that it can move with.
func (v *live) pass(ctx context.Context, cancel context.CancelCauseFunc, body io.Reader, p *passage, a *node.Attempt, l *connection) (node.Result, error) {
	if l != nil {
		defer v.remove(l)
		a.OnHandBack(l.leave)
	}
	c := &carrying{passage: p, live: v, ctx: ctx, cancel: cancel, body: body, attempt: a, link: l}
	p.came = time.Now()
	if p.begun {
		c.begin()
	} else {
		c.quiet = time.AfterFunc(openQuiet, func() { cancel(errNoEvent) })
	}
	defer func() { c.quiet.Stop() }()
	for {
		whole, err := c.read()
		if whole > 0 {
			if end := c.hand(whole); end != nil {
				return end.result, end.err
			}
		}
		if end := c.ended(err); end != nil {
			return end.result, end.err
		}
	}
}

// carrying is a stream on its way to its client.
type carrying struct {
	*passage
	live    *live
	ctx     context.Context
	cancel  context.CancelCauseFunc
	body    io.Reader
	attempt *node.Attempt
	link    *connection // that it can move with; nil: it cannot
	quiet   *time.Timer // ends it once it is silent: connections to a machine that vanished stay open, and its client is not left waiting
}

// outcome is how a stream ended.
type outcome struct {
	result node.Result
	err    error
}

// begin notes that the first event has come, here or in the process before.
func (c *carrying) begin() {
	c.begun = true
	c.quiet = time.AfterFunc(c.silence(c.attempt.ClientResumes), func() { c.cancel(errQuiet) })
	if c.link != nil {
		c.live.add(c.link)
	}
}

// read reads what comes next, and tells how many bytes of the buffer are whole events.
func (c *carrying) read() (whole int, err error) {
	if len(c.buffer) == cap(c.buffer) {
		c.buffer = append(c.buffer, 0)[:len(c.buffer)]
	}
	n, err := c.body.Read(c.buffer[len(c.buffer):cap(c.buffer)])
	c.buffer = c.buffer[:len(c.buffer)+n]
	c.size += n
	if err == io.EOF && c.begun {
		return len(c.buffer), err
	}
	return wholeEvents(c.buffer), err
}

// hand hands whole events on. Not nil: the stream has ended with them.
func (c *carrying) hand(whole int) *outcome {
	before := c.end.events
	if err := c.end.note(c.buffer[:whole]); err != nil {
		return &outcome{node.Result{Code: standpoint.ServerError}, err}
	}
	if c.end.events > before {
		c.came = time.Now()
	}
	if c.begun && !c.passed.IsZero() {
		c.pause = max(c.pause, time.Since(c.passed))
	}
	if !c.begun {
		if !c.attempt.Claim() {
			return &outcome{node.Result{Code: failure(c.ctx, true, nil)}, errors.New("the request is over")}
		}
		c.quiet.Stop()
		c.begin()
	}
	err := c.write(whole)
	switch {
	case errors.Is(err, node.ErrStopped):
		return c.stop(err)
	case err != nil:
		return &outcome{node.Result{Code: standpoint.Cancelled}, err}
	}
	c.buffer = append(c.buffer[:0], c.buffer[whole:]...)
	return nil
}

// write has the client take whole events. Meanwhile it is not the server that is silent; nor is that time part of its pace.
func (c *carrying) write(whole int) error {
	c.quiet.Stop()
	from := time.Now()
	err := c.attempt.Forward(c.buffer[:whole])
	if wait := time.Since(from); wait > node.MinClientStall {
		c.held += wait
	}
	c.passed = time.Now()
	c.quiet.Reset(c.silence(c.attempt.ClientResumes) - from.Sub(c.came)) // comments are no signs of an answer
	return err
}

// stop ends the decoding where the hook had it end; first it ends, then it is put on record that it has.
func (c *carrying) stop(why error) *outcome {
	c.quiet.Stop()
	c.cancel(why)
	if body, ok := c.body.(io.Closer); ok {
		_ = body.Close()
	}
	return &outcome{c.attempt.ForwardStopped(), nil}
}

// ended tells how the stream ended, by what the last read came to. Nil: it goes on.
func (c *carrying) ended(err error) *outcome {
	switch {
	case err == io.EOF && c.begun && c.end.done:
		return &outcome{node.Result{Code: standpoint.Served, CachedTokens: c.end.kept, OutputTokens: c.end.tokens, Report: c.end.report, ClientStall: c.held}, nil}
	case err == io.EOF:
		return &outcome{node.Result{Code: standpoint.ServerError, Report: c.end.report}, errors.New("the answer ends before its last event")}
	case errors.Is(err, errFrozen) && c.link != nil:
		result, err := c.live.leave(c.passage, c.attempt, c.link)
		return &outcome{result, err}
	case errors.Is(err, errLeft):
		return &outcome{node.Result{Code: standpoint.Cancelled, Report: c.end.report}, err}
	case err != nil:
		return &outcome{node.Result{Code: failure(c.ctx, true, c.link), Report: c.end.report}, err}
	case len(c.buffer) > eventMost, c.size > streamMost, c.endless(c.attempt.Request.Work.MaxTokens):
		return &outcome{node.Result{Code: standpoint.ServerError}, errors.New("the answer, or one event of it, does not end")}
	}
	return nil
}
