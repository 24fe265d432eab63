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
	{"a lease without an end", fleet + "quota/allocation.go", "|| a.WindowStart(window+1) > a.lease.ExpiresAt {", "{", "quota"},
	{"a successor that spends at once", fleet + "quota/allocation.go", "if a.lease.Successor {", "if false {", "quota"},
	{"quota that is lent and stays spendable", fleet + "quota/allocation.go", "own := a.leasedQuota(window) - a.lentAmount(window) - a.debtRepayment(window)", "own := a.leasedQuota(window) - a.debtRepayment(window)", "quota"},
	{"a transfer accepted as often as it is announced", fleet + "quota/transfer.go", "b.Lender == transfer.Lender && b.Number == transfer.Number", "false", "quota"},
	{"a returned transfer forgotten at its return", fleet + "quota/transfer.go", "return t.originalLast < window })\n\ta.lent", "return t.LastWindow < window })\n\ta.lent", "quota"},
	{"quota reclaimed while a clock may be before the end of its transfer", fleet + "quota/transfer.go", "a.WindowStart(last+1) + a.ClockError,", "0,", "quota"},
	{"a transfer to another incarnation accepted", fleet + "quota/transfer.go", "if transfer.Borrower != a.Owner || transfer.LastWindow < a.currentWindow", "if transfer.Borrower.Slot != a.Owner.Slot || transfer.LastWindow < a.currentWindow", "quota"},
	{"a lender that forgets transfers it has no room for", fleet + "quota/transfer.go", "if len(a.lent) >= MaxTransfers {\n\t\treturn Transfer{}, false\n\t}", "if len(a.lent) >= MaxTransfers {\n\t\ta.lent = a.lent[1:]\n\t}", "quota"},
	{"windows that a clock reopens", fleet + "quota/allocation.go", "a.now = max(a.now, now)\n\twindow := a.WindowAt(a.now)\n\tif window <= a.currentWindow {", "a.now = now\n\twindow := a.WindowAt(a.now)\n\tif window < a.currentWindow {\n\t\ta.currentWindow = window\n\t\tclear(a.spent)\n\t}\n\tif window <= a.currentWindow {", "quota"},
	{"an overdraft that is no debt", fleet + "quota/allocation.go", "a.debt += max(0, a.spent[0]-a.Quota(a.currentWindow))", "", "quota"},
	{"a slot granted while another incarnation holds it", fleet + "lease/lease.go", "case now < record.ExpiresAt+2*int64(clockError):", "case false:", "lease"},
	{"a fencing token that does not grow", fleet + "lease/lease.go", "FencingToken: record.FencingToken + 1,", "FencingToken: 1,", "lease"},
	{"an incarnation that is not persisted before it claims", fleet + "lease/directory.go", "if err := d.save(); err != nil {\n\t\treturn 0, nil, err\n\t}\n\treturn incarnation", "return incarnation", "lease"},
	{"older counts taken for news", fleet + "counter/counter.go", "if r.At <= s.incarnations[i].At {\n\t\t\treturn false\n\t\t}", "", "counter"},
	{"lives counted again that had been added up", fleet + "counter/counter.go", "if r.Owner.Incarnation <= s.mergedThrough {\n\t\treturn false\n\t}", "", "counter"},
	{"bounds that do not widen with silence", fleet + "counter/counter.go", "r.Upper += int64(float64(age+2*t.ClockError) / 1e9 * float64(t.MaxRates[key]))", "", "counter"},
	{"one source that counts as several", fleet + "outlier/detector.go", "return s.owner.Slot == who.Slot })", "return false })", "outlier"},
	{"hearsay that outweighs own evidence", fleet + "outlier/detector.go", "if seen && own.Kind == Healthy", "if false && own.Kind == Healthy", "outlier"},
	{"a witness that is cut off itself", fleet + "outlier/detector.go", "case !b.current(s, now) || b.exceedsIsolationShare(badBy[s.owner.Slot], len(b.backends)):", "case !b.current(s, now):", "outlier"},
	{"evidence that never expires", fleet + "outlier/detector.go", "return now-s.ObservedAt <= b.EvidenceLifetime\n", "return true\n", "outlier"},
	{"evidence on the process before", fleet + "outlier/detector.go", "return !listed || s.StartedAt != e.StartedAt", "_ = s\n\treturn !listed", "outlier"},
	{"a whole zone left out", fleet + "outlier/detector.go", "return out[j.Backend.Zone] > b.maxEjected(zones[j.Backend.Zone])", "return false", "outlier"},
	{"a mode that changes at once", fleet + "connectivity/connectivity.go", "settled := now-m.targetSince >= int64(m.SettleTime)", "settled := true", "connectivity"},
	{"a fence that is not compared", fleet + "session/session.go", "o.FencingToken == r.FencingToken && o.Owner == r.Owner\n\tswitch", "o.Owner == r.Owner\n\tswitch", "session"},
	{"a claim that ends by the leader's clock alone", fleet + "session/session.go", "now >= r.Deadline+2*clockError", "now >= r.Deadline", "session"},
	{"a key that is used twice", fleet + "session/session.go", "case o.Turn < r.Turn:\n\t\treturn r, ErrKeyUsed", "", "session"},
	{"a claim beside another", fleet + "session/session.go", "case r.State != Paused && !dead && !claimLapsed(r, now, clockError):", "case false && !dead:", "session"},
	{"results that are not those of the calls", fleet + "session/session.go", "if !slices.Contains(o.ResultIDs, c.ID) {", "if false {", "session"},
	{"an entry counted by its arrival", fleet + "ledger/book.go", "if found {\n\t\treturn all, false\n\t}", "if found {\n\t\treturn all, true\n\t}", "ledger"},
	{"a checksum that is not compared", fleet + "ledger/file.go", "if checksum(raw[:4], payload) != binary.BigEndian.Uint32(raw[4:]) {", "if false {", "ledger"},
	{"a torn tail that is written behind", fleet + "ledger/file.go", "if err = f.current.Truncate(f.currentBytes); err == nil {\n\t\t_, err = f.current.Seek(f.currentBytes, io.SeekStart)", "if err == nil {\n\t\t_, err = f.current.Seek(0, io.SeekEnd)", "ledger"},
	{"a site alone at the first silence", fleet + "site/site.go", "now-m.since >= int64(m.IsolatedAfter)", "true", "site"},
	{"loans between definitions that differ", fleet + "member/member.go", "return b.DefinitionHash() == o.BudgetHash })", "return b.Name == \"b\" })", "member"},
}

var tries = regexp.MustCompile(`failed after (\d+) tests`)

// Run takes each guard out in a copy of the tree at root, and writes what found it. It returns how many nothing found.
func Run(ctx context.Context, root string, out io.Writer) (missed int, err error) {
	dir, err := os.MkdirTemp("", "proof-")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // its own
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
