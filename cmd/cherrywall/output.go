package main

import (
	"encoding/json"
	"io"
	"os"
	"text/tabwriter"
)

// isTerminal reports whether the standard output is a terminal.
func isTerminal() bool {
	info, err := os.Stdout.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// printJSON prints a value as indented JSON.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printJSONLine prints a value as one line of JSON, for programs that read a stream of values.
func printJSONLine(value any) error { return json.NewEncoder(os.Stdout).Encode(value) }

// printTable prints lines of tab-separated cells as an aligned table.
func printTable(lines string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(w, lines); err != nil {
		return err
	}
	return w.Flush()
}
