// Command soak runs controllers as real processes on the loopback interface against fakes of everything
// outside them, injects random faults, and checks the rules of the protocol. It exits with status 0 if no
// rule was broken, 1 if a rule was broken or a run could not be completed, and 2 if an argument is invalid.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"cherrywall/internal/soak"

	"github.com/alecthomas/kong"
)

// Exit statuses.
const (
	exitViolation = 1 // a rule was broken, or a run could not be completed
	exitUsage     = 2 // an argument is invalid
)

// errViolated is returned if a run broke a rule.
var errViolated = errors.New("rules were broken")

// cli holds the arguments of the command line.
type cli struct {
	Seed     uint64        `help:"Seed of the first run." default:"1"`
	Seeds    int           `help:"Number of runs, with successive seeds." default:"1"`
	Duration time.Duration `help:"How long faults are injected in each run." default:"40s"`
	Workers  int           `help:"Machines at the start." default:"24"`
	Faults   string        `help:"Kinds of faults, separated by commas; empty for all."`
	Program  string        `help:"The controllers' executable." default:"target/cherrywall" type:"path"`
	Dir      string        `help:"Folder for settings and logs; a new temporary one if empty." type:"path"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	status := execute(ctx, os.Args[1:], os.Stderr)
	stop()
	os.Exit(status)
}

// execute runs a command line and returns the exit status. It writes an error as one line to stderr.
func execute(ctx context.Context, args []string, stderr io.Writer) (status int) {
	var options cli
	parser, err := kong.New(&options, kong.Name("soak"), kong.Description("Runs real controller processes with random faults, and checks the rules of the protocol from outside."))
	if err != nil {
		panic(err) // the declaration of cli is invalid
	}
	if _, err = parser.Parse(args); err != nil {
		_, _ = fmt.Fprintln(stderr, "soak:", err)
		return exitUsage
	}
	err = options.run(ctx)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(stderr, "soak:", err)
	var optionErr *soak.OptionError
	if errors.As(err, &optionErr) {
		return exitUsage
	}
	return exitViolation
}

// run executes the runs one after the other. It returns errViolated if a run broke a rule, and stops at the first
// run that could not be completed.
func (c cli) run(ctx context.Context) error {
	if c.Seeds < 1 {
		return &soak.OptionError{Option: "seeds", Reason: "must be at least 1"}
	}
	if err := c.options(c.Seed, c.Dir).Validate(); err != nil {
		return err
	}
	dir := c.Dir
	if dir == "" {
		tempDir, err := os.MkdirTemp("", "cherrywall-soak-")
		if err != nil {
			return fmt.Errorf("create temporary folder: %w", err)
		}
		dir = tempDir
	}
	violatingRunCount := 0
	for i := range uint64(c.Seeds) {
		seed := c.Seed + i
		result, err := soak.Run(ctx, c.options(seed, filepath.Join(dir, fmt.Sprint("seed-", seed))), os.Stdout)
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		printResult(seed, result)
		if len(result.Violations) > 0 {
			violatingRunCount++
		}
	}
	fmt.Printf("%d of %d runs broke a rule\n", violatingRunCount, c.Seeds)
	if violatingRunCount > 0 {
		return errViolated
	}
	return nil
}

// options returns the options of one run.
func (c cli) options(seed uint64, dir string) soak.Options {
	options := soak.Options{Seed: seed, Duration: c.Duration, Workers: c.Workers, Program: c.Program, Dir: dir}
	for name := range strings.SplitSeq(c.Faults, ",") {
		if name != "" {
			options.Faults = append(options.Faults, soak.FaultKind(name))
		}
	}
	return options
}

// printResult prints the result of a run: the events around violations, the violations and a summary.
func printResult(seed uint64, result soak.Result) {
	for _, line := range result.NearbyEvents {
		fmt.Println(line)
	}
	for _, violation := range result.Violations {
		fmt.Println("violation:", violation)
	}
	fmt.Printf("seed %d: %d violations; %d jobs, %d of them not seen to end, the histories of %d not checked in time, %d requests, %d task starts; the limited team was at its limit for %.0f%% of the time\n",
		seed, len(result.Violations), result.Jobs, result.Unfinished, result.Unchecked, result.Requests, result.Starts, 100*result.AtLimitShare)
}
