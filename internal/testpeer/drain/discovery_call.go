package drain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	// watchContinuation is the time after an answer within which the node's next call counts as the continuation of its
	// watch and is not queued.
	watchContinuation = 200 * time.Millisecond
	// answerPieceCount is the number of pieces in which an answer with a PieceInterval is written.
	answerPieceCount = 6
	// closeDelay is how long a connection stays open after its answer. If the node had sent more, closing immediately
	// would reset the connection.
	closeDelay = time.Second
)

// Fault describes how the handling of one call deviates from the normal one. The zero value is no fault.
type Fault struct {
	Silent        bool          // the call is never answered
	Truncated     bool          // the answer stops after its first part, and the connection stays open
	ResetAfter    time.Duration // the time after which a waiting call is reset; 0: never
	Delay         time.Duration // the time between the creation and the writing of the answer
	PieceInterval time.Duration // the time between the pieces of an answer; 0: it is written at once
	Full          bool          // the answer is the full list instead of the changes
	Stale         bool          // the answer is, without a wait, the full list and version before the last change
	Indented      bool          // the JSON of the answer is indented
}

// call is one call of a node, on a connection of its own.
type call struct {
	node    string
	conn    net.Conn
	closed  <-chan struct{} // closed once the node has closed its side of the connection
	fault   Fault
	version int           // the node's version: the call asks for later changes
	wait    time.Duration // how long the call waits for a change
}

// handle serves the only call of a connection.
func (d *Discovery) handle(node string, conn net.Conn) {
	defer conn.Close()
	if d.isDown() {
		resetOnClose(conn)
		return
	}
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	closed := make(chan struct{})
	go func() { // returns when the connection ends
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	}()
	poll := &call{node: node, conn: conn, closed: closed, fault: d.nextFault(node)}
	if !d.waitForTurn(poll) {
		d.countOutcome("rejected")
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	switch {
	case poll.fault.Silent:
		d.countOutcome("silent")
		<-closed
		return
	case poll.fault.Truncated:
		d.countOutcome("truncated")
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"seq\":")
		<-closed
		return
	}
	d.answer(poll, request)
}

// answer waits until there is a change or the call's wait is over, and answers the call.
func (d *Discovery) answer(poll *call, request *http.Request) {
	after, err := strconv.Atoi(request.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait_ms")) // 0 if it is missing
	poll.version = after
	poll.wait = time.Duration(wait) * time.Millisecond
	poll.fault.Full = poll.fault.Full || err != nil
	if err == nil && !poll.fault.Stale {
		switch d.await(poll) {
		case waitReset:
			d.countOutcome("reset")
			resetOnClose(poll.conn)
			return
		case waitSilenced:
			d.countOutcome("silent")
			<-poll.closed
			return
		}
	}
	d.write(poll)
}

func (d *Discovery) isDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down
}

// nextFault assigns the next number to a node's call and returns the fault of that number.
func (d *Discovery) nextFault(node string) Fault {
	d.mu.Lock()
	number := d.calls[node]
	d.calls[node]++
	d.mu.Unlock()
	if d.Fault == nil {
		return Fault{}
	}
	return d.Fault(node, number)
}

// resetOnClose makes the later close of a connection reset it.
func resetOnClose(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // fails only on a closed connection
}

// waitForTurn waits until the call has been served by the queue or the node has closed it. A call that is not queued
// returns immediately. It reports whether the call was accepted: it is rejected if the queue is full.
func (d *Discovery) waitForTurn(poll *call) bool {
	d.mu.Lock()
	queue := d.queue
	if queue.ServiceTime == 0 || time.Since(d.lastAnswers[poll.node]) < watchContinuation {
		d.mu.Unlock()
		return true
	}
	if d.waiting >= queue.Maximum {
		d.rejectionDelay += queue.RejectionTime
		d.mu.Unlock()
		return false
	}
	d.waiting++
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		d.waiting--
		d.mu.Unlock()
	}()
	select {
	case d.serving <- struct{}{}:
	case <-poll.closed:
		return true
	}
	d.mu.Lock()
	delay := d.rejectionDelay
	d.rejectionDelay = 0
	d.mu.Unlock()
	time.Sleep(queue.ServiceTime + delay)
	<-d.serving
	return true
}

// waitResult is how the wait of a call ends.
type waitResult int

const (
	waitDone     waitResult = iota // there is a newer version, the wait is over, or the node has closed the call
	waitReset                      // discovery went down, or the call's fault resets it
	waitSilenced                   // the call is never to be answered
)

// await waits for a version other than the call's, but no longer than the call's wait.
func (d *Discovery) await(poll *call) waitResult {
	timeout := time.NewTimer(poll.wait)
	defer timeout.Stop()
	var resetTimer <-chan time.Time
	if poll.fault.ResetAfter > 0 {
		resetTimer = time.After(poll.fault.ResetAfter)
	}
	d.mu.Lock()
	silencedBefore := d.silencedCount
	d.mu.Unlock()
	for {
		d.mu.Lock()
		down := d.down
		silenced := d.silencedCount > silencedBefore
		newest := d.initialVersion + len(d.changes)
		changed := d.changed
		d.mu.Unlock()
		switch {
		case down:
			return waitReset
		case silenced:
			return waitSilenced
		case newest != poll.version: // a version newer than newest comes from another discovery
			return waitDone
		}
		select {
		case <-changed:
		case <-timeout.C:
			return waitDone
		case <-resetTimer:
			return waitReset
		case <-poll.closed:
			return waitDone
		}
	}
}

// write writes the answer to a call. If the answer lists draining backends, the node counts as notified of them when
// the last piece is written, unless it had closed the call before.
func (d *Discovery) write(poll *call) {
	list, draining := d.changesSince(poll.version, poll.fault)
	time.Sleep(poll.fault.Delay)
	raw, err := poll.fault.encode(list)
	if err != nil {
		d.t.Error(err)
		return
	}
	if poll.fault.PieceInterval > 0 {
		for size := (len(raw) + answerPieceCount - 1) / answerPieceCount; len(raw) > size; raw = raw[size:] {
			_, _ = poll.conn.Write(raw[:size]) // if this write fails, that of the last piece fails too
			time.Sleep(poll.fault.PieceInterval)
		}
	}
	select {
	case <-poll.closed:
		d.countOutcome("closed by the node")
		return
	default:
	}
	at := time.Now()
	if _, err := poll.conn.Write(raw); err != nil {
		return
	}
	d.countOutcome("answered")
	d.mu.Lock()
	d.lastAnswers[poll.node] = at
	d.mu.Unlock()
	for _, backend := range draining {
		d.record.addNotification(Notification{Node: poll.node, Backend: backend, At: at, By: notifiedByWrite})
	}
	select {
	case <-poll.closed:
	case <-time.After(closeDelay):
	}
}

// encode returns the HTTP response with a list, as bytes on the wire.
func (f Fault) encode(list hostList) ([]byte, error) {
	body, err := json.Marshal(list)
	if f.Indented {
		body, err = json.MarshalIndent(list, "", "  ")
	}
	if err != nil {
		return nil, err
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", len(body))
	return append([]byte(head), body...), nil
}
