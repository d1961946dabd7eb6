package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"os"

	"cherrywall/internal/jobs"
)

// newID returns an id that nobody else is likely to choose.
func newID(prefix string) string { return jobs.NumberedRef(prefix, rand.Uint64()) }

// readFile reads a file, "-" is the standard input.
func readFile(name string) ([]byte, error) {
	if name == "-" {
		content, err := io.ReadAll(os.Stdin)
		return bytes.TrimPrefix(content, []byte("\ufeff")), err
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, &usageError{err}
	}
	return content, nil
}
