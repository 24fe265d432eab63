// Package proof proves the proof: it takes guards out of the fleet's deciders, one by one, in a copy of the tree, and shows that
// the tests find each. A guard whose loss nothing finds is one that nothing proves.
package proof

import (
	"context"
	"fmt"
	"io"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// Guard is one guard: a text of a file, and what stands there without it.
type Guard struct {
	What, File, Is, Without string
	Test                    string // package whose tests are to find it
}

const fleet = "internal/fleet/"

// Guards are those that are taken out.
var Guards = []Guard{
	{"a lease without an end", fleet + "rights/purse.go", "|| p.Begins(w+1) > p.lease.Until {", "{", "rights"},
	{"an heir that spends at once", fleet + "rights/purse.go", "if p.lease.Heir {", "if false {", "rights"},
	{"what is lent stays spendable", fleet + "rights/purse.go", "max(0, p.own(w)-p.out(w)-p.due(w)) + p.in(w)", "max(0, p.own(w)-p.due(w)) + p.in(w)", "rights"},
	{"a loan taken as often as it is told", fleet + "rights/purse.go", "h.Lender == l.Lender && h.Number == l.Number", "false", "rights"},
	{"a returned loan forgotten at its return", fleet + "rights/purse.go", "func(l loan) bool { return l.given < w })\n\tp.lent", "func(l loan) bool { return l.Last < w })\n\tp.lent", "rights"},
	{"what was lent used again while a clock may be before the end", fleet + "rights/purse.go", "p.Begins(last+1) + p.Error}", "0}", "rights"},
	{"a loan of another life taken", fleet + "rights/purse.go", "if l.To != p.Own || l.Last < p.window", "if l.To.Seat != p.Own.Seat || l.Last < p.window", "rights"},
	{"a lender that forgets loans it has no room for", fleet + "rights/purse.go", "if len(p.lent) >= LoansMost {\n\t\treturn Loan{}, false\n\t}", "if len(p.lent) >= LoansMost {\n\t\tp.lent = p.lent[1:]\n\t}", "rights"},
	{"windows that come back with the clock", fleet + "rights/purse.go", "p.now = max(p.now, now)\n\tw := p.At(p.now)\n\tif w <= p.window {", "p.now = now\n\tw := p.At(p.now)\n\tif w < p.window {\n\t\tp.window = w\n\t\tclear(p.spent)\n\t}\n\tif w <= p.window {", "rights"},
	{"an overdraft that is nobody's debt", fleet + "rights/purse.go", "p.debt += max(0, p.spent[0]-p.Rights(p.window))", "", "rights"},
	{"a seat given while another life has it", fleet + "seat/seat.go", "case now < r.Until+2*int64(clockError):", "case false:", "seat"},
	{"a seat's fence that does not grow", fleet + "seat/seat.go", "Epoch: r.Epoch + 1,", "Epoch: 1,", "seat"},
	{"a life that is not on record before it claims", fleet + "seat/seat.go", "if err := f.write(); err != nil {\n\t\treturn fail(err)\n\t}\n\treturn f, inc", "return f, inc", "seat"},
	{"older counts taken for news", fleet + "tally/tally.go", "if r.At <= s.lives[i].At {\n\t\t\treturn false\n\t\t}", "", "tally"},
	{"lives counted again that had been added up", fleet + "tally/tally.go", "if r.Owner.Inc <= s.past {\n\t\treturn false\n\t}", "", "tally"},
	{"bounds that do not widen with silence", fleet + "tally/tally.go", "r.Upper += int64(float64(age+2*t.Error) / 1e9 * float64(t.Most[key]))", "", "tally"},
	{"one source that counts as several", fleet + "judge/judge.go", "return s.who.Seat == who.Seat })", "return false })", "judge"},
	{"hearsay that outweighs own evidence", fleet + "judge/judge.go", "if seen && own.Kind == Well", "if false && own.Kind == Well", "judge"},
	{"a witness that is cut off itself", fleet + "judge/judge.go", "case !b.counts(s, now) || b.many(badBy[s.who.Seat], len(b.servers)):", "case !b.counts(s, now):", "judge"},
	{"evidence that never expires", fleet + "judge/judge.go", "return now-s.At <= b.Lasts }", "return true }", "judge"},
	{"evidence on the process before", fleet + "judge/judge.go", "return !listed || s.Start != e.Start", "_ = s\n\treturn !listed", "judge"},
	{"a whole zone left out", fleet + "judge/judge.go", "return out[j.Server.Zone] > b.most(zones[j.Server.Zone])", "return false", "judge"},
	{"a mode that changes at once", fleet + "mode/mode.go", "settled := now-m.wishing >= int64(m.Settle)", "settled := true", "mode"},
	{"a fence that is not compared", fleet + "session/session.go", "o.Fence == r.Fence && o.By == r.By\n\tswitch", "o.By == r.By\n\tswitch", "session"},
	{"a claim that ends by the leader's clock alone", fleet + "session/session.go", "now >= r.Until+2*clockError", "now >= r.Until", "session"},
	{"a key that is used twice", fleet + "session/session.go", "case o.Turn < r.Turn:\n\t\treturn r, ErrUsed", "", "session"},
	{"a claim beside another", fleet + "session/session.go", "case r.State != Paused && !dead && !lapsed(r, now, clockError):", "case false && !dead:", "session"},
	{"results that are not those of the calls", fleet + "session/session.go", "if !slices.Contains(o.Results, c.ID) {", "if false {", "session"},
	{"an entry counted by its arrival", fleet + "ledger/book.go", "if found {\n\t\treturn all, false\n\t}", "if found {\n\t\treturn all, true\n\t}", "ledger"},
	{"a checksum that is not compared", fleet + "ledger/file.go", "if sum(raw[:4], payload) != binary.BigEndian.Uint32(raw[4:]) {", "if false {", "ledger"},
	{"a torn tail that is written behind", fleet + "ledger/file.go", "if err = f.out.Truncate(f.size); err == nil {\n\t\t_, err = f.out.Seek(f.size, io.SeekStart)", "if err == nil {\n\t\t_, err = f.out.Seek(0, io.SeekEnd)", "ledger"},
	{"a site alone at the first silence", fleet + "site/site.go", "now-m.since >= int64(m.Alone)", "true", "site"},
	{"loans between definitions that differ", fleet + "member/member.go", "return b.Definition() == o.Budget })", "return b.Name == \"b\" })", "member"},
}

var tries = regexp.MustCompile(`failed after (\d+) tests`)

// Run takes each guard out in a copy of the tree at root, and writes what found it. It returns how many nothing found.
func Run(ctx context.Context, root string, out io.Writer) (missed int, err error) {
	dir, err := os.MkdirTemp("", "proof-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir) // its own
	if err := copyTree(root, dir); err != nil {
		return 0, err
	}
	for _, g := range Guards {
		if err := ctx.Err(); err != nil {
			return missed, err
		}
		path := filepath.Join(dir, g.File)
		whole, err := os.ReadFile(path)
		if err != nil {
			return missed, err
		}
		if strings.Count(string(whole), g.Is) != 1 {
			return missed, fmt.Errorf("%s: %q stands there %d times", g.File, g.Is, strings.Count(string(whole), g.Is))
		}
		if err := os.WriteFile(path, []byte(strings.Replace(string(whole), g.Is, g.Without, 1)), 0o600); err != nil {
			return missed, err
		}
		from := time.Now()
		test, cancel := context.WithTimeout(ctx, 2*time.Minute)
		c := exec.CommandContext(test, "go", "test", "-count=1", "-timeout=100s", "./"+fleet+g.Test)
		c.Dir = dir
		said, failed := c.CombinedOutput()
		cancel()
		if err := os.WriteFile(path, whole, 0o600); err != nil {
			return missed, err
		}
		found := "not found"
		switch {
		case failed != nil && strings.Contains(string(said), "[build failed]"):
			return missed, fmt.Errorf("%s does not build without its guard:\n%s", g.File, said)
		case failed != nil && tries.Match(said):
			found = "found after " + string(tries.FindSubmatch(said)[1]) + " drawn runs"
		case failed != nil:
			found = "found"
		default:
			missed++
		}
		fmt.Fprintf(out, "%-64s %-30s %.1f s\n", g.What, found, time.Since(from).Seconds())
	}
	return missed, nil
}

func copyTree(from, to string) error {
	return filepath.WalkDir(from, func(path string, e fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		if e.IsDir() {
			if e.Name() == ".git" || e.Name() == "journal" || e.Name() == "bin" || e.Name() == "testdata" {
				return filepath.SkipDir
			}
			return os.MkdirAll(filepath.Join(to, rel), 0o700)
		}
		if !e.Type().IsRegular() || !(strings.HasSuffix(path, ".go") || e.Name() == "go.mod" || e.Name() == "go.sum") {
			return nil
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, rel), raw, 0o600)
	})
}
