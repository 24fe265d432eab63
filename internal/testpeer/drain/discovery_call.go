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
	// watchContinuation is how soon behind an answer a node's next call continues its watch, and waits in no queue.
	watchContinuation = 200 * time.Millisecond
	// answerPieces is the number of pieces that an answer comes in.
	answerPieces = 6
	// closeWait is how long a connection stays open behind its answer: if the node had sent more, a close at once would
	// reset it.
	closeWait = time.Second
)

// Fault is what becomes of one call. The zero value is none.
type Fault struct {
	Silent        bool          // never answered: discovery has forgotten it
	Truncated     bool          // half of an answer, then silence
	ResetAfter    time.Duration // reset so long after it came; 0: not
	Delay         time.Duration // the answer is written so much later than it is made
	PieceInterval time.Duration // the answer comes in pieces, with this between them
	Full          bool          // the full list in place of changes
	Stale         bool          // the full list as it was before the last change, with that version, at once
	Indented      bool          // the answer's JSON
}

// call is one call of a node.
type call struct {
	node   string
	conn   net.Conn
	closed <-chan struct{} // closed once the node has closed the call
	fault  Fault
	after  int           // the version whose changes are asked for
	wait   time.Duration // for a change
}

// handle serves the one call of a connection.
func (d *Discovery) handle(node string, conn net.Conn) {
	defer conn.Close()
	if d.isDown() {
		reset(conn)
		return
	}
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	closed := make(chan struct{})
	go func() { // ends with the connection
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	}()
	polled := &call{node: node, conn: conn, closed: closed, fault: d.nextFault(node)}
	if !d.takeTurn(polled) {
		d.count("turned away")
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		return
	}
	switch {
	case polled.fault.Silent:
		d.count("silent")
		<-closed
		return
	case polled.fault.Truncated:
		d.count("half")
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"seq\":")
		<-closed
		return
	}
	d.answer(polled, request)
}

// answer waits for what a call asks for, and answers it.
func (d *Discovery) answer(polled *call, request *http.Request) {
	after, err := strconv.Atoi(request.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(request.URL.Query().Get("wait_ms")) // none: 0
	polled.after = after
	polled.wait = time.Duration(wait) * time.Millisecond
	polled.fault.Full = polled.fault.Full || err != nil
	if err == nil && !polled.fault.Stale {
		switch d.await(polled) {
		case waitBroken:
			d.count("reset")
			reset(polled.conn)
			return
		case waitForgotten:
			d.count("silent")
			<-polled.closed
			return
		}
	}
	d.write(polled)
}

func (d *Discovery) isDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.down
}

// nextFault numbers a node's call and returns its fault.
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

// reset has the close of a connection reset it.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // fails on a closed connection alone
}

// takeTurn waits until the calls that came before are handled. It is false if too many wait.
func (d *Discovery) takeTurn(polled *call) bool {
	d.mu.Lock()
	queue := d.queue
	if queue.ServiceTime == 0 || time.Since(d.answered[polled.node]) < watchContinuation {
		d.mu.Unlock()
		return true
	}
	if d.waiting >= queue.Maximum {
		d.debt += queue.RejectionTime
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
	case <-polled.closed:
		return true
	}
	d.mu.Lock()
	debt := d.debt
	d.debt = 0
	d.mu.Unlock()
	time.Sleep(queue.ServiceTime + debt)
	<-d.serving
	return true
}

// waitResult is how the wait of a watch ends.
type waitResult int

const (
	waitAnswered  waitResult = iota // there is something newer, or the wait is over
	waitBroken                      // discovery went down, or resets the call
	waitForgotten                   // it is never answered
)

// await waits for something newer than a call's version, and for the wait's end at most.
func (d *Discovery) await(polled *call) waitResult {
	end := time.NewTimer(polled.wait)
	defer end.Stop()
	var resets <-chan time.Time
	if polled.fault.ResetAfter > 0 {
		resets = time.After(polled.fault.ResetAfter)
	}
	d.mu.Lock()
	forgottenBefore := d.forgotten
	d.mu.Unlock()
	for {
		d.mu.Lock()
		down := d.down
		forgotten := d.forgotten > forgottenBefore
		newest := d.firstVersion + len(d.changes)
		changed := d.changed
		d.mu.Unlock()
		switch {
		case down:
			return waitBroken
		case forgotten:
			return waitForgotten
		case newest != polled.after: // an older one is none of this discovery's
			return waitAnswered
		}
		select {
		case <-changed:
		case <-end.C:
			return waitAnswered
		case <-resets:
			return waitBroken
		case <-polled.closed:
			return waitAnswered
		}
	}
}

// write answers a call. A node that it tells of a draining backend counts as notified once the last byte is written,
// unless the node had closed the call before.
func (d *Discovery) write(polled *call) {
	list, draining := d.changesSince(polled.after, polled.fault)
	time.Sleep(polled.fault.Delay)
	raw, err := polled.fault.encode(list)
	if err != nil {
		d.t.Error(err)
		return
	}
	if polled.fault.PieceInterval > 0 {
		for size := (len(raw) + answerPieces - 1) / answerPieces; len(raw) > size; raw = raw[size:] {
			_, _ = polled.conn.Write(raw[:size]) // the last piece's write fails too
			time.Sleep(polled.fault.PieceInterval)
		}
	}
	select {
	case <-polled.closed:
		d.count("given up")
		return
	default:
	}
	at := time.Now()
	if _, err := polled.conn.Write(raw); err != nil {
		return
	}
	d.count("answered")
	d.mu.Lock()
	d.answered[polled.node] = at
	d.mu.Unlock()
	for _, backend := range draining {
		d.record.addNotification(Notification{Node: polled.node, Backend: backend, At: at, By: byWritten})
	}
	select {
	case <-polled.closed:
	case <-time.After(closeWait):
	}
}

// encode returns an answer as it stands on the wire.
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
