package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"os"

	"cherrywall/internal/jobs"
)

// newID returns a random id that is unlikely to be in use.
func newID(prefix string) string { return jobs.NumberedRef(prefix, rand.Uint64()) }

// readFile reads a file, or the standard input if the name is "-".
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
