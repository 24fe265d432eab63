// Command adapter runs many isolated routers behind the line protocol on standard input and output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"standpoint"
	"standpoint/internal/wire"
)

func main() {
	debug.SetGCPercent(400) // the heap is small, and collector time is billed
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// session is one run of the adapter: the routers of all nodes, and the batch in progress.
type session struct {
	out     io.Writer
	routers map[int]*standpoint.Router // by node
	inBatch bool
	now     int64 // of the batch
	reply   []byte
	actions []standpoint.Action
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, 1<<20)
	s := &session{out: out, routers: map[int]*standpoint.Router{}}
	var long []byte
	for number := 1; ; number++ {
		text, err := readLine(reader, &long)
		if errors.Is(err, io.EOF) && len(text) == 0 {
			if s.inBatch {
				return fmt.Errorf("line %d: input ends inside a batch", number)
			}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if len(text) == 0 {
			continue
		}
		if err := s.handle(text, number); err != nil {
			return err
		}
	}
}

// handle takes one line of the input.
func (s *session) handle(text []byte, number int) error {
	m, err := wire.Decode(text)
	if err != nil {
		return fmt.Errorf("line %d: %w", number, err)
	}
	if s.inBatch == (m.Verb == wire.VerbBatch) {
		return fmt.Errorf("line %d: %q out of place", number, m.Verb)
	}
	switch m.Verb {
	case wire.VerbBatch:
		s.inBatch = true
		s.now = m.Time
		s.reply = s.reply[:0]
		return nil
	case wire.VerbEnd:
		s.inBatch = false
		if _, err := s.out.Write(wire.AppendOK(s.reply)); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
		return nil
	case wire.VerbOpen:
		s.routers[m.Node] = standpoint.New(m.Settings, m.Seed)
		return nil
	}
	router := s.routers[m.Node]
	if router == nil {
		return fmt.Errorf("line %d: node %d was never opened", number, m.Node)
	}
	if m.Verb == wire.VerbStop {
		delete(s.routers, m.Node)
		s.reply = dropNode(s.reply, m.Node)
		return nil
	}
	s.actions = router.Handle(s.now, m.Event, s.actions[:0])
	for _, action := range s.actions {
		s.reply = wire.AppendAction(s.reply, m.Node, action)
	}
	return nil
}

// dropNode is where a node stopped inside a batch loses the actions it gave earlier in that batch.
// They name requests and attempts of the dead instance, which nobody may act on any more.
func dropNode(reply []byte, node int) []byte {
	mark := fmt.Appendf(nil, `","node":%d,`, node)
	kept := reply[:0]
	for len(reply) > 0 {
		end := 0
		for end < len(reply) && reply[end] != '\n' {
			end++
		}
		line := reply[:end+1]
		reply = reply[end+1:]
		if !hasNode(line, mark) {
			kept = append(kept, line...)
		}
	}
	return kept
}

// hasNode looks for the mark right after the verb, so text inside other fields cannot match.
func hasNode(line, mark []byte) bool {
	const head = len(`{"verb":"`)
	i := head
	for i < len(line) && line[i] != '"' {
		i++
	}
	return len(line) >= i+len(mark) && string(line[i:i+len(mark)]) == string(mark)
}

// readLine returns the next line without its newline; long backs lines past the reader's buffer.
func readLine(r *bufio.Reader, long *[]byte) ([]byte, error) {
	text, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		*long = append((*long)[:0], text...)
		for errors.Is(err, bufio.ErrBufferFull) {
			text, err = r.ReadSlice('\n')
			*long = append(*long, text...)
		}
		text = *long
	}
	for len(text) > 0 && (text[len(text)-1] == '\n' || text[len(text)-1] == '\r') {
		text = text[:len(text)-1]
	}
	return text, err
}
