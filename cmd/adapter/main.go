// Command adapter runs the isolated routers of many nodes behind the line protocol of package wire, on standard input
// and output.
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
	debug.SetGCPercent(400) // the heap is small, and the time of its collection is counted as the adapter's
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// adapter is the state of one run: the routers of all nodes, and the batch in progress.
type adapter struct {
	out     io.Writer
	routers map[int]*standpoint.Router // by node
	inBatch bool
	now     int64               // time of the batch in progress, in nanoseconds
	reply   []byte              // the lines that answer the batch in progress
	actions []standpoint.Action // buffer for the actions of one event
}

// run reads batches of lines from in and writes a reply to each, until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, 1<<20)
	a := &adapter{out: out, routers: map[int]*standpoint.Router{}}
	var longLine []byte
	for lineNumber := 1; ; lineNumber++ {
		line, err := readLine(reader, &longLine)
		if errors.Is(err, io.EOF) && len(line) == 0 {
			if a.inBatch {
				return fmt.Errorf("line %d: input ends inside a batch", lineNumber)
			}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", lineNumber, err)
		}
		if len(line) == 0 {
			continue
		}
		if err := a.handle(line, lineNumber); err != nil {
			return err
		}
	}
}

// handle processes one line of the input. The line that begins a batch must be outside a batch, and every other line
// inside one.
func (a *adapter) handle(line []byte, lineNumber int) error {
	message, err := wire.Decode(line)
	if err != nil {
		return fmt.Errorf("line %d: %w", lineNumber, err)
	}
	if a.inBatch == (message.Verb == wire.VerbBatch) {
		return fmt.Errorf("line %d: %q out of place", lineNumber, message.Verb)
	}
	switch message.Verb {
	case wire.VerbBatch:
		a.inBatch = true
		a.now = message.Time
		a.reply = a.reply[:0]
		return nil
	case wire.VerbBatchEnd:
		a.inBatch = false
		if _, err := a.out.Write(wire.AppendOK(a.reply)); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		return nil
	case wire.VerbOpenInstance:
		a.routers[message.Node] = standpoint.New(message.Settings, message.Seed)
		return nil
	}
	router := a.routers[message.Node]
	if router == nil {
		return fmt.Errorf("line %d: node %d is not open", lineNumber, message.Node)
	}
	if message.Verb == wire.VerbTeardown {
		delete(a.routers, message.Node)
		a.reply = removeNodeActions(a.reply, message.Node)
		return nil
	}
	a.actions = router.Handle(a.now, message.Event, a.actions[:0])
	for _, action := range a.actions {
		a.reply = wire.AppendAction(a.reply, message.Node, action)
	}
	return nil
}

// removeNodeActions removes the actions of a node from a reply in progress. When a node is stopped inside a batch, its
// earlier actions in that batch name requests and attempts of an instance that no longer exists.
func removeNodeActions(reply []byte, node int) []byte {
	nodeField := fmt.Appendf(nil, `","node":%d,`, node)
	remaining := reply[:0]
	for len(reply) > 0 {
		end := 0
		for end < len(reply) && reply[end] != '\n' {
			end++
		}
		line := reply[:end+1]
		reply = reply[end+1:]
		if !isForNode(line, nodeField) {
			remaining = append(remaining, line...)
		}
	}
	return remaining
}

// isForNode reports whether an action's line has the given node field. It compares only what follows the verb, so that
// text inside other fields cannot match.
func isForNode(line, nodeField []byte) bool {
	const prefixLength = len(`{"verb":"`)
	i := prefixLength
	for i < len(line) && line[i] != '"' {
		i++
	}
	return len(line) >= i+len(nodeField) && string(line[i:i+len(nodeField)]) == string(nodeField)
}

// readLine returns the next line without its newline. A line that does not fit the reader's buffer is stored in
// longLine.
func readLine(reader *bufio.Reader, longLine *[]byte) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		*longLine = append((*longLine)[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = reader.ReadSlice('\n')
			*longLine = append(*longLine, line...)
		}
		line = *longLine
	}
	for len(line) > 0 && (line[len(line)-1] == '\n' || line[len(line)-1] == '\r') {
		line = line[:len(line)-1]
	}
	return line, err
}
