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

const (
	barWidth        = 40  // characters
	maxShareHistory = 240 // maximum number of samples in the history; older ones are dropped
	maxLiveEvents   = 8   // maximum number of events shown, the latest ones
)

var (
	bold  = lipgloss.NewStyle().Bold(true)
	faint = lipgloss.NewStyle().Faint(true)
	warn  = lipgloss.NewStyle().Foreground(lipgloss.Color("3"))
)

// sparkLevels are the characters of a sparkline, from the lowest level to the highest.
var sparkLevels = []rune(" ▁▂▃▄▅▆▇█")

func isTerminal(f *os.File) bool { return term.IsTerminal(int(f.Fd())) }

// liveView shows a migration on a terminal, and is updated until the migration ends. It implements tea.Model.
type liveView struct {
	call         func(method, path string, in, out any) error
	status       controller.Status
	shareHistory []float64 // the share of the new pool at each update, the latest last
	note         string    // the result of the last command that a key sent
	err          error     // the error that ended the view; nil for none
}

// Messages that update the view.
type (
	// statusReceived carries the daemon's latest status.
	statusReceived controller.Status
	// statusFailed carries the error of a status call, which ends the view.
	statusFailed struct{ err error }
	// commandFinished carries the result of a command that a key sent.
	commandFinished struct{ text string }
)

// watchLive shows the migration until it ends or the user quits. A halt does not end the view, since a key can resume
// the migration. If the migration ended otherwise than planned, the error says how.
func (o *options) watchLive(ctx context.Context, out *os.File) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	defer client.Close()
	view := liveView{call: func(method, path string, in, out any) error {
		return withExitCode(client.Call(ctx, method, path, in, out))
	}}
	end, err := tea.NewProgram(view, tea.WithContext(ctx), tea.WithOutput(out)).Run()
	if err != nil {
		return err
	}
	view = end.(liveView)
	if view.err != nil {
		return view.err
	}
	if record := view.status.Migration; record != nil && record.State.Terminal() {
		return endError(record)
	}
	return nil
}

// Init implements tea.Model.
func (m liveView) Init() tea.Cmd { return m.fetchStatus(migrationPath) }

func (m liveView) fetchStatus(path string) tea.Cmd {
	return func() tea.Msg {
		var status controller.Status
		if err := m.call(http.MethodGet, path, nil, &status); err != nil {
			return statusFailed{err}
		}
		return statusReceived(status)
	}
}

func (m liveView) sendCommand(name string) tea.Cmd {
	return func() tea.Msg {
		if err := m.call(http.MethodPost, migrationPath+"/"+name, struct{}{}, nil); err != nil {
			return commandFinished{name + ": " + err.Error()}
		}
		return commandFinished{name + ": done"}
	}
}

// Update implements tea.Model.
func (m liveView) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case statusReceived:
		return m.updateStatus(controller.Status(msg))
	case statusFailed:
		m.err = msg.err
		return m, tea.Quit
	case commandFinished:
		m.note = msg.text
	case tea.KeyPressMsg:
		return m, m.keyCommand(msg.String())
	}
	return m, nil
}

func (m liveView) updateStatus(status controller.Status) (tea.Model, tea.Cmd) {
	m.status = status
	if status.Migration == nil {
		m.err = exitError{Failed, errNoMigration}
		return m, tea.Quit
	}
	m.shareHistory = append(m.shareHistory, status.Migration.CurrentShare())
	m.shareHistory = m.shareHistory[max(0, len(m.shareHistory)-maxShareHistory):]
	if status.Migration.State.Terminal() {
		return m, tea.Quit
	}
	return m, m.fetchStatus(migrationWaitPath)
}

// keyCommand returns the command that a key runs, or nil.
func (m liveView) keyCommand(key string) tea.Cmd {
	switch key {
	case "q", "ctrl+c", "esc":
		return tea.Quit
	case "p":
		return m.sendCommand("pause")
	case "r":
		return m.sendCommand("resume")
	case "u":
		return m.sendCommand("undo")
	}
	return nil
}

// View implements tea.Model.
func (m liveView) View() tea.View {
	record := m.status.Migration
	if record == nil {
		return tea.NewView("waiting for the daemon ...\n")
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s  %s to %s\n\n", bold.Render(record.ID), record.Plan.From, record.Plan.To)
	share := record.CurrentShare()
	shareBar := bar(share, lipgloss.NewStyle())
	fmt.Fprintf(&text, "%-12s %s %5.1f%%\n", formatMigrationState(record), shareBar, 100*share)
	fmt.Fprintf(&text, "%-12s %s\n", "evidence", bar(min(1, m.status.Evidence), warn))
	fmt.Fprintf(&text, "%-12s %s\n", "history", sparkline(m.shareHistory))
	if record.Reason != "" {
		fmt.Fprintf(&text, "\n%s\n", record.Reason)
	}
	text.WriteString("\n")
	writeLiveEvents(&text, record.Events)
	writeLiveNodes(&text, m.status.Nodes)
	keys := faint.Render("p pause   r resume   u undo   q quit")
	fmt.Fprintf(&text, "\n%s  %s\n", keys, m.note)
	return tea.NewView(text.String())
}

func writeLiveEvents(text *strings.Builder, events []migration.Event) {
	for _, e := range events[max(0, len(events)-maxLiveEvents):] {
		style := faint
		if e.State == migration.Halted || e.State == migration.Returning {
			style = warn
		}
		text.WriteString(style.Render(formatEvent(e)) + "\n")
	}
}

func writeLiveNodes(text *strings.Builder, nodes []controller.NodeStatus) {
	for _, n := range nodes {
		lagging := ""
		if n.Lagging {
			lagging = warn.Render("  behind")
		}
		fmt.Fprintf(text, "node %s  version %d%s\n", n.Name, n.Version, lagging)
	}
}

// bar draws a fraction from 0 to 1 as a horizontal bar.
func bar(fraction float64, style lipgloss.Style) string {
	filled := int(fraction*barWidth + 0.5)
	return style.Render(strings.Repeat("█", filled)) + faint.Render(strings.Repeat("░", barWidth-filled))
}

// sparkline draws the latest fractions, one character each.
func sparkline(fractions []float64) string {
	var line strings.Builder
	highest := len(sparkLevels) - 1
	for _, fraction := range fractions[max(0, len(fractions)-barWidth):] {
		level := int(fraction*float64(highest) + 0.5)
		line.WriteRune(sparkLevels[min(highest, max(0, level))])
	}
	return line.String()
}
