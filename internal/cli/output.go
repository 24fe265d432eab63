package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

func (o *options) validateOutput() error {
	if o.output != outputText && o.output != outputJSON {
		return exitError{InvalidUsage, fmt.Errorf("--output: %q is neither text nor json", o.output)}
	}
	return nil
}

// print writes a value as JSON, or has writeText write it.
func (o *options) print(value any, writeText func()) error {
	if o.output == outputJSON {
		encoder := json.NewEncoder(o.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	writeText()
	return nil
}

// printLines writes lines as a JSON list, or one a line.
func (o *options) printLines(lines []string) error {
	return o.print(append([]string{}, lines...), func() { o.writeLines(lines) })
}

func (o *options) writeLines(lines []string) {
	for _, line := range lines {
		fmt.Fprintln(o.Out, line)
	}
}

// writeTable writes rows in columns. A row is a line of cells that end with tabs.
func (o *options) writeTable(header string, writeRows func(w io.Writer)) {
	w := tabwriter.NewWriter(o.Out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(w, header)
	writeRows(w)
	w.Flush()
}

// printAnswer returns a command's function that prints what the daemon answers to a GET of path.
func printAnswer[T any](o *options, path string, writeText func(T)) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, _ []string) error {
		var answer T
		if err := o.call(c.Context(), http.MethodGet, path, nil, &answer); err != nil {
			return err
		}
		return o.print(answer, func() { writeText(answer) })
	}
}

// firstNonEmpty returns the first text that is not "".
func firstNonEmpty(texts ...string) string {
	for _, text := range texts {
		if text != "" {
			return text
		}
	}
	return ""
}
