package cli

import (
	"fmt"
	"io"
	"time"

	"standpoint/internal/migration"
	"standpoint/internal/migration/controller"
)

// eventTime is the time layout of migration events.
const eventTime = "15:04:05"

func (o *options) writeMigrationHistory(records []migration.Record) {
	o.writeTable("MOVE\tFROM\tTO\tEND\tTOOK\tBY\tWHY", func(w io.Writer) {
		for _, r := range records {
			duration := r.Changed.Sub(r.Started).Round(time.Second)
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%s\t%s\n", r.ID, r.Plan.From, r.Plan.To, r.State, duration, r.By,
				firstNonEmpty(r.Cause, r.Note))
		}
	})
}

func writePlan(w io.Writer, p migration.Plan) {
	fmt.Fprintf(w, "from %s to %s, in at least %v\n", p.From, p.To, p.MinimumDuration())
	fmt.Fprintf(w, "  warm up   %.1f%% for %v or more\n", 100*p.WarmUpShare, p.MinWarmUp)
	for i, step := range p.Steps {
		fmt.Fprintf(w, "  step %d    %.1f%%, watched for %v and %d flows or more\n", i+1, 100*step, p.MinHold, p.MinSamples)
	}
	fmt.Fprintf(w, "  worse is  under %.0f%% of the old pool's worth in time, ", 100*p.OnTimeFloor)
	fmt.Fprintf(w, "first tokens later by %.2f, tokens slower by %.2f,\n", p.FirstTokenFactor, p.TokenGapFactor)
	fmt.Fprintf(w, "            or more than %.1f%% further errors; nothing shorter than %v ends the move\n",
		100*p.ErrorAllowance, p.MaxToleratedStall)
	if p.OnWorse == migration.Return {
		fmt.Fprintf(w, "  then      traffic goes back in %d steps, one each %v\n", p.ReturnSteps, p.ReturnEvery)
		return
	}
	fmt.Fprintln(w, "  then      the move stays halted until resume or undo")
}

func writeStatus(w io.Writer, s controller.Status) {
	if s.Migration == nil {
		fmt.Fprintln(w, errNoMigration)
		return
	}
	writeRecord(w, *s.Migration, s.Evidence)
	for _, n := range s.Nodes {
		lagging := ""
		if n.Lagging {
			lagging = "  behind"
		}
		fmt.Fprintf(w, "  node %-12s version %d, last report %.1fs ago%s\n", n.Name, n.Version, n.Age, lagging)
	}
	if len(s.Nodes) == 0 && !s.Leads {
		fmt.Fprintf(w, "  node %s follows version %d; moves are run by %s\n", s.Node, s.Version, orNone(s.Leader))
	}
}

func writeRecord(w io.Writer, r migration.Record, evidence float64) {
	share := 100 * r.CurrentShare()
	fmt.Fprintf(w, "%s: %s to %s, %s at %.1f%%\n", r.ID, r.Plan.From, r.Plan.To, formatMigrationState(&r), share)
	if r.Reason != "" {
		fmt.Fprintf(w, "  %s\n", r.Reason)
	}
	if !r.State.Terminal() {
		fmt.Fprintf(w, "  evidence against the new pool: %.0f%% of an alarm\n", 100*evidence)
	}
	for _, e := range r.Events {
		fmt.Fprintln(w, "  "+formatEvent(e))
	}
}

func formatMigrationState(r *migration.Record) string {
	if r.Paused {
		return string(r.State) + ", paused"
	}
	return string(r.State)
}

func formatEvent(e migration.Event) string {
	return fmt.Sprintf("%s  %-9s %5.1f%%  %s", e.At.Format(eventTime), e.State, 100*e.Share, e.Text)
}
