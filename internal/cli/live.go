package cli

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"

	tea "charm.land/bubbletea/v2"
	"charm.land/lipgloss/v2"
	"golang.org/x/term"

	"standpoint/internal/migration"
	"standpoint/internal/migration/controller"
)

func isTerminal(f *os.File) bool { return term.IsTerminal(int(f.Fd())) }

const (
	barWidth        = 40
	maxShareHistory = 240 // states kept for the trail of shares
)

// liveView is the view of a move on a terminal.
type liveView struct {
	call         func(method, path string, in, out any) error
	status       controller.Status
	shareHistory []float64
	note         string
	err          error
}

type (
	statusReceived  controller.Status
	statusFailed    struct{ err error }
	commandFinished struct{ text string }
)

func (o *options) watchLive(ctx context.Context, out *os.File) error {
	c, err := o.client()
	if err != nil {
		return err
	}
	defer c.Close()
	m := liveView{call: func(method, path string, in, out any) error { return withExitCode(c.Call(ctx, method, path, in, out)) }}
	end, err := tea.NewProgram(m, tea.WithContext(ctx), tea.WithOutput(out)).Run()
	if err != nil {
		return err
	}
	m = end.(liveView)
	switch {
	case m.err != nil:
		return m.err
	case m.status.Migration != nil && m.status.Migration.State.Terminal():
		return exitOf(m.status.Migration)
	}
	return nil
}

// Init implements tea.Model.
func (m liveView) Init() tea.Cmd { return m.fetchStatus("/v1/move") }

func (m liveView) fetchStatus(path string) tea.Cmd {
	return func() tea.Msg {
		var s controller.Status
		if err := m.call(http.MethodGet, path, nil, &s); err != nil {
			return statusFailed{err}
		}
		return statusReceived(s)
	}
}

func (m liveView) sendCommand(name string) tea.Cmd {
	return func() tea.Msg {
		if err := m.call(http.MethodPost, "/v1/move/"+name, struct{}{}, nil); err != nil {
			return commandFinished{name + ": " + err.Error()}
		}
		return commandFinished{name + ": done"}
	}
}

// Update implements tea.Model.
func (m liveView) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case statusReceived:
		m.status = controller.Status(msg)
		if m.status.Migration == nil {
			m.err = exit{Failed, fmt.Errorf("no move was ever started")}
			return m, tea.Quit
		}
		m.shareHistory = append(m.shareHistory, m.status.Migration.CurrentShare())
		if n := len(m.shareHistory) - maxShareHistory; n > 0 {
			m.shareHistory = m.shareHistory[n:]
		}
		if m.status.Migration.State.Terminal() {
			return m, tea.Quit
		}
		return m, m.fetchStatus("/v1/move?wait=1s")
	case statusFailed:
		m.err = msg.err
		return m, tea.Quit
	case commandFinished:
		m.note = msg.text
	case tea.KeyPressMsg:
		switch msg.String() {
		case "q", "ctrl+c", "esc":
			return m, tea.Quit
		case "p":
			return m, m.sendCommand("pause")
		case "r":
			return m, m.sendCommand("resume")
		case "u":
			return m, m.sendCommand("undo")
		}
	}
	return m, nil
}

var (
	bold  = lipgloss.NewStyle().Bold(true)
	faint = lipgloss.NewStyle().Faint(true)
	warn  = lipgloss.NewStyle().Foreground(lipgloss.Color("3"))
)

// View implements tea.Model.
func (m liveView) View() tea.View {
	var b strings.Builder
	r := m.status.Migration
	if r == nil {
		return tea.NewView("asking the daemon ...\n")
	}
	fmt.Fprintf(&b, "%s  %s to %s\n\n", bold.Render(r.ID), r.Plan.From, r.Plan.To)
	state := string(r.State)
	if r.Paused {
		state += ", paused"
	}
	full := int(r.CurrentShare()*barWidth + 0.5)
	fmt.Fprintf(&b, "%-12s %s%s %5.1f%%\n", state, strings.Repeat("█", full), faint.Render(strings.Repeat("░", barWidth-full)), 100*r.CurrentShare())
	level := int(min(1, m.status.Evidence)*barWidth + 0.5)
	fmt.Fprintf(&b, "%-12s %s%s\n", "evidence", warn.Render(strings.Repeat("█", level)), faint.Render(strings.Repeat("░", barWidth-level)))
	fmt.Fprintf(&b, "%-12s %s\n", "trail", sparkline(m.shareHistory))
	if r.Reason != "" {
		fmt.Fprintf(&b, "\n%s\n", r.Reason)
	}
	b.WriteString("\n")
	for _, e := range r.Events[max(0, len(r.Events)-8):] {
		style := faint
		if e.State == migration.Halted || e.State == migration.Returning {
			style = warn
		}
		b.WriteString(style.Render(fmt.Sprintf("%s  %-9s %5.1f%%  %s", e.At.Format("15:04:05"), e.State, 100*e.Share, e.Text)) + "\n")
	}
	for _, n := range m.status.Nodes {
		behind := ""
		if n.Lagging {
			behind = warn.Render("  behind")
		}
		fmt.Fprintf(&b, "node %s  version %d%s\n", n.Name, n.Version, behind)
	}
	fmt.Fprintf(&b, "\n%s\n", faint.Render("p pause   r resume   u undo   q leave")+"  "+m.note)
	return tea.NewView(b.String())
}

// sparkline draws shares as small bars.
func sparkline(values []float64) string {
	levels := []rune(" ▁▂▃▄▅▆▇█")
	var b strings.Builder
	for _, v := range values[max(0, len(values)-barWidth):] {
		b.WriteRune(levels[min(len(levels)-1, max(0, int(v*float64(len(levels)-1)+0.5)))])
	}
	return b.String()
}
