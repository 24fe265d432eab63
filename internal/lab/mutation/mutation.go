// Package mutation shows that the tests find what they are for: it takes guards out of the fleet's deciding packages, one
// by one, in a copy of the tree, and runs the tests. A guard whose loss no test finds is one that nothing proves.
package mutation

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

// Guard is a condition or step of the code: a text of a file that occurs once, and what replaces it when it is taken out.
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
	{"older counts taken for newer", fleet + "counter/counter.go", "if s.At <= known.At {\n\t\treturn false\n\t}", "", "counter"},
	{"incarnations counted again that had been summed up", fleet + "counter/counter.go", "if incarnation <= slot.mergedThrough {\n\t\treturn false\n\t}", "", "counter"},
	{"bounds that do not widen with time", fleet + "counter/reading.go", "reading.Upper += t.possibleGrowth(key, age)", "", "counter"},
	{"one source that counts as several", fleet + "outlier/detector.go", "return r.owner.Slot == owner.Slot })", "return false })", "outlier"},
	{"others' evidence that outweighs the node's own", fleet + "outlier/ejection.go", "if observed && own.Kind == Healthy", "if false && own.Kind == Healthy", "outlier"},
	{"a source that is isolated itself", fleet + "outlier/ejection.go", "if !d.current(report.Evidence, now) || d.exceedsIsolationShare(faultsBySlot[report.owner.Slot]) {", "if !d.current(report.Evidence, now) {", "outlier"},
	{"evidence that never expires", fleet + "outlier/detector.go", "return now-evidence.ObservedAt <= d.EvidenceLifetime", "return true", "outlier"},
	{"evidence on an earlier process", fleet + "outlier/detector.go", "return !listed || backend.StartedAt != evidence.StartedAt", "_ = backend\n\treturn !listed", "outlier"},
	{"a whole zone ejected", fleet + "outlier/ejection.go", "return ranked[e.Backend.Zone] > d.maxEjected(backends[e.Backend.Zone])", "return false", "outlier"},
	{"a connectivity state that changes at once", fleet + "connectivity/connectivity.go", "settled := now-m.targetSince >= int64(m.SettleTime)", "settled := true", "connectivity"},
	{"a fence that is not compared", fleet + "session/apply.go", "c.command.FencingToken == c.record.FencingToken && c.command.Owner == c.record.Owner", "c.command.Owner == c.record.Owner", "session"},
	{"a claim that ends by the leader's clock alone", fleet + "session/apply.go", "c.now >= c.record.Deadline+2*c.clockError", "c.now >= c.record.Deadline", "session"},
	{"a key that is used twice", fleet + "session/apply.go", "case turn < r.Turn:\n\t\treturn false, ErrKeyUsed", "", "session"},
	{"a claim beside another", fleet + "session/apply.go", "case r.State != Paused && !c.ownerEnded() && !c.claimLapsed():", "case false && !c.ownerEnded():", "session"},
	{"results that are not those of the calls", fleet + "session/apply.go", "if !slices.Contains(c.command.ResultIDs, call.ID) {", "if false {", "session"},
	{"an entry counted by its arrival", fleet + "ledger/range.go", "if found {\n\t\treturn ranges, false\n\t}", "if found {\n\t\treturn ranges, true\n\t}", "ledger"},
	{"a checksum that is not compared", fleet + "ledger/record.go", "if checksum(b[:lengthBytes], payload) != binary.BigEndian.Uint32(b[lengthBytes:]) {", "if false {", "ledger"},
	{"a torn tail that is written behind", fleet + "ledger/segmented_log.go", "err := l.current.Truncate(l.currentBytes)\n\tif err == nil {\n\t\t_, err = l.current.Seek(l.currentBytes, io.SeekStart)", "var err error\n\tif err == nil {\n\t\t_, err = l.current.Seek(0, io.SeekEnd)", "ledger"},
	{"a site isolated at the first silence", fleet + "site/site.go", "now-m.since >= int64(m.IsolatedAfter)", "true", "site"},
	{"transfers between definitions that differ", fleet + "member/quota.go", "return b.DefinitionHash() == message.BudgetHash", "return b.Name == \"b\"", "member"},
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
