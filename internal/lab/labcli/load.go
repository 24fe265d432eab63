package labcli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	tea "charm.land/bubbletea/v2"
	"charm.land/lipgloss/v2"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"standpoint/internal/lab/load"
)

// loadCommand sends load and reports on it.
func loadCommand(out, errs io.Writer) *cobra.Command {
	var target, replay, record, file, pattern string
	var scale float64
	var duration time.Duration
	var plain bool
	c := &cobra.Command{Use: "load PLAN",
		Short: "Send the load of a plan or a recorded trace, and report the results", Args: cobra.ExactArgs(1),
		Long: `Clients arrive by the plan's pattern, whether or not responses do. Latency counts from the time at
which a request was due to be sent; a run in which the generator itself was late is marked. Ctrl-C
ends the run; the report is still written.`,
		Example: "  lab load deploy/lab/evening.toml --out evening.json\n" +
			"  lab load deploy/lab/evening.toml --replay day.jsonl --scale 0.5",
		RunE: func(c *cobra.Command, args []string) error {
			p, err := readPlan(args[0], target, pattern, duration)
			if err != nil {
				return err
			}
			o := load.Options{Plan: p, Scale: scale}
			if replay != "" {
				if err := readTrace(&o, replay); err != nil {
					return err
				}
			}
			var recording *os.File
			if record != "" {
				if recording, err = os.Create(record); err != nil {
					return err
				}
				o.Record = load.NewRecorder(recording)
			}
			r, err := runLoad(c.Context(), o, errs, plain)
			if err != nil {
				return err
			}
			r.Write(out)
			if recording != nil {
				err = errors.Join(o.Record.Flush(), recording.Close())
			}
			return errors.Join(err, writeJSON(file, r))
		}}
	f := c.Flags()
	f.StringVar(&target, "target", "", "address (host:port) to send to, in place of the plan's")
	f.StringVar(&pattern, "pattern", "",
		"requests per second over time, in place of the plan's, such as 'steady(20) + burst(100, at=10s, for=5s)'")
	f.DurationVar(&duration, "for", 0, "duration, in place of the plan's")
	f.StringVar(&replay, "replay", "",
		"file with a recorded trace, one JSON object per line, to replay in place of the pattern")
	f.Float64Var(&scale, "scale", 1, "factor on the trace's time: 0.5 replays it twice as fast")
	f.StringVar(&record, "record", "", "file for a trace of this run")
	f.StringVar(&file, "out", "", "file for the report as JSON, with its histograms")
	f.BoolVar(&plain, "plain", false, "print one line per second, even on a terminal")
	c.AddCommand(&cobra.Command{Use: "merge REPORT...", Short: "Merge the reports of several processes",
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var all []*load.Report
			for _, path := range args {
				r, err := load.ReadFile[load.Report](path)
				if err != nil {
					return err
				}
				all = append(all, r)
			}
			r, err := load.MergeReports(all...)
			if err != nil {
				return err
			}
			r.Write(out)
			return writeJSON(file, r)
		}})
	c.AddCommand(&cobra.Command{Use: "ceiling",
		Short: "Find the highest rate at which the 99th percentile of the generator's send lag is under 1 ms",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			rate, err := load.Ceiling(c.Context(), errs)
			fmt.Fprintf(out, "%.0f requests a second\n", rate)
			return err
		}})
	merge, _, err := c.Find([]string{"merge"})
	if err != nil {
		panic(err) // cannot happen: the command was added above
	}
	merge.Flags().StringVar(&file, "out", "", "file for the merged report as JSON")
	return c
}

// readPlan reads a plan and sets the values that flags override.
func readPlan(path, target, pattern string, duration time.Duration) (*load.Plan, error) {
	p, err := load.ReadPlan(path)
	if p == nil {
		return nil, err
	}
	if target != "" {
		p.Target = target
	}
	if pattern != "" {
		p.Pattern = pattern
	}
	if duration > 0 {
		p.Duration = load.Duration(duration)
	}
	return p, p.Complete()
}

// readTrace reads the trace to be replayed.
func readTrace(o *load.Options, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	var faults load.TraceFaults
	if o.Calls, faults, err = load.ReadTrace(f); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	o.Faults = &faults
	return nil
}

// writeJSON writes a value to a JSON file, if there is a path.
func writeJSON(path string, v any) error {
	if path == "" {
		return nil
	}
	raw, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

// runLoad sends the load, with a live view if errs is a terminal, else with one line per second.
func runLoad(ctx context.Context, o load.Options, errs io.Writer, plain bool) (*load.Report, error) {
	f, isFile := errs.(*os.File)
	if plain || !isFile || !term.IsTerminal(int(f.Fd())) {
		o.Progress = func(p load.Progress) { fmt.Fprintln(errs, progressLine(p)) }
		return load.Run(ctx, o)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	program := tea.NewProgram(loadView{stop: cancel}, tea.WithOutput(f), tea.WithoutSignalHandler())
	o.Progress = func(p load.Progress) { program.Send(p) }
	var r *load.Report
	var err error
	go func() {
		r, err = load.Run(ctx, o)
		program.Send(loadDone{})
	}()
	if _, ended := program.Run(); ended != nil {
		cancel()
		return nil, ended
	}
	return r, err
}

// progressLine returns the line of a second.
func progressLine(p load.Progress) string {
	line := fmt.Sprintf("%5.0f s of %.0f  %6.1f/s wanted  %5d out  "+
		"second: %4d asked %4d in time %4d turned down %4d failed, slowest %.0f ms", p.Elapsed.Seconds(),
		p.Duration.Seconds(),
		p.Rate, p.InFlight, p.Second.Asked, p.Second.InTime, p.Second.TurnedDown, p.Second.Failed, p.Second.FirstMS)
	if p.Lagging {
		line += "  THE GENERATOR LAGS"
	}
	return line
}

// loadDone is the message that the run has ended.
type loadDone struct{}

// loadView is the live view of a run on a terminal.
type loadView struct {
	stop   context.CancelFunc
	last   load.Progress
	recent []load.Second
	done   bool
}

const maxRecentSeconds = 60 // number of seconds that the live view's bars show

// Init implements tea.Model.
func (v loadView) Init() tea.Cmd { return nil }

// Update implements tea.Model.
func (v loadView) Update(m tea.Msg) (tea.Model, tea.Cmd) {
	switch m := m.(type) {
	case load.Progress:
		v.last = m
		if v.recent = append(v.recent, m.Second); len(v.recent) > maxRecentSeconds {
			v.recent = v.recent[1:]
		}
	case loadDone:
		v.done = true
		return v, tea.Quit
	case tea.KeyPressMsg:
		if s := m.String(); s == "ctrl+c" || s == "q" {
			v.stop() // ends the run; its report is still written
		}
	}
	return v, nil
}

// View implements tea.Model.
func (v loadView) View() tea.View {
	if v.done {
		return tea.NewView("")
	}
	p := v.last
	bold := lipgloss.NewStyle().Bold(true)
	var b strings.Builder
	progress := 0.0
	if p.Duration > 0 {
		progress = min(1, p.Elapsed.Seconds()/p.Duration.Seconds())
	}
	const width = 40
	fmt.Fprintf(&b, "%s %s%s %.0f s of %.0f\n", bold.Render("load"), strings.Repeat("█", int(progress*width)),
		strings.Repeat("░", width-int(progress*width)), p.Elapsed.Seconds(), p.Duration.Seconds())
	fmt.Fprintf(&b, "%.1f requests a second wanted, %d out\n", p.Rate, p.InFlight)
	if p.All != nil && p.All.Intended > 0 {
		q := func(at float64) float64 { return float64(p.All.FirstToken.ValueAtQuantile(at)) / 1000 }
		fmt.Fprintf(&b, "asked %d, served %d, in time %d (%.1f%%), turned down %d, failed %d\n", p.All.Intended,
			p.All.Served, p.All.InTime,
			100*float64(p.All.InTime)/float64(p.All.Intended), p.All.Rejected, p.All.Failed+p.All.TimedOut)
		fmt.Fprintf(&b, "first event: median %.0f ms, 99th %.0f, 99.9th %.0f; send lag 99th %.2f ms\n", q(50), q(99),
			q(99.9), float64(p.All.SendLag.ValueAtQuantile(99))/1000)
	}
	bars := []rune("▁▂▃▄▅▆▇█")
	b.WriteString("in time a second ")
	for _, s := range v.recent {
		if s.Asked == 0 {
			b.WriteRune(' ')
			continue
		}
		b.WriteRune(bars[min(len(bars)-1, s.InTime*len(bars)/max(1, s.Asked))])
	}
	b.WriteString("\n")
	if p.Lagging {
		b.WriteString(bold.Render("THE GENERATOR LAGS: the run will be marked") + "\n")
	}
	b.WriteString("q ends the run; its report is still written\n")
	return tea.NewView(b.String())
}
