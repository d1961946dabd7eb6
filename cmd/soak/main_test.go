package main

import (
	"bytes"
	"strings"
	"testing"
)

func TestInvalidArgumentsPrintOneLineAndExitWithStatus2(t *testing.T) {
	for _, args := range [][]string{
		{"--workers", "0"},
		{"--workers", "many"},
		{"--duration", "1s"},
		{"--faults", "kill,earthquake"},
		{"--seeds", "0"},
		{"--unknown"},
		{"extra"},
	} {
		var stderr bytes.Buffer
		if status := execute(t.Context(), args, &stderr); status != exitUsage {
			t.Errorf("%v: status %d", args, status)
		}
		if strings.Count(stderr.String(), "\n") != 1 {
			t.Errorf("%v: %q", args, stderr.String())
		}
	}
}
