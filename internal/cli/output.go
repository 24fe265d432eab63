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

// print writes value as indented JSON if --output is json, and calls writeText otherwise.
func (o *options) print(value any, writeText func()) error {
	if o.output == outputJSON {
		encoder := json.NewEncoder(o.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	writeText()
	return nil
}

// printLines writes lines as a JSON array, or as text with one on each line.
func (o *options) printLines(lines []string) error {
	return o.print(append([]string{}, lines...), func() { o.writeLines(lines) })
}

func (o *options) writeLines(lines []string) {
	for _, line := range lines {
		fmt.Fprintln(o.Out, line)
	}
}

// writeTable writes a header and rows in aligned columns. The cells of a row are separated by tabs.
func (o *options) writeTable(header string, writeRows func(w io.Writer)) {
	w := tabwriter.NewWriter(o.Out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(w, header)
	writeRows(w)
	w.Flush()
}

// printResponse returns the RunE function of a command that prints the daemon's response to a GET of path.
func printResponse[T any](o *options, path string, writeText func(T)) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, _ []string) error {
		var response T
		if err := o.call(c.Context(), http.MethodGet, path, nil, &response); err != nil {
			return err
		}
		return o.print(response, func() { writeText(response) })
	}
}

// firstNonEmpty returns the first of texts that is not empty, or "".
func firstNonEmpty(texts ...string) string {
	for _, text := range texts {
		if text != "" {
			return text
		}
	}
	return ""
}
