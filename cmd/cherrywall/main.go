// Command cherrywall is a cluster scheduler: the daemon that runs a controller, and the command
// line for users and operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"cherrywall/internal/config"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"
)

// version is set at release builds with -ldflags "-X main.version=...".
var version = "dev"

// cli is the command line.
type cli struct {
	Config    string `help:"Run the daemon with this settings file." placeholder:"FILE" type:"path"`
	Pipelines bool   `help:"Let the daemon run pipeline files."`
	Trace     string `help:"Write the spans of runs to this file." placeholder:"FILE" type:"path"`

	Run        runCmd                       `cmd:"" default:"withargs" hidden:"" help:"Run the daemon (needs --config)."`
	Demo       demoCmd                      `cmd:"" help:"Try it: stand-ins and three controllers on loopback run an example pipeline."`
	Submit     submitCmd                    `cmd:"" help:"Submit a job."`
	Watch      watchCmd                     `cmd:"" help:"Wait for jobs and tell how they go on."`
	Cancel     cancelCmd                    `cmd:"" help:"Cancel jobs."`
	Jobs       jobsCmd                      `cmd:"" help:"List the unfinished jobs."`
	Pipeline   pipelineCmd                  `cmd:"" help:"Check and run pipeline files."`
	Status     statusCmd                    `cmd:"" help:"Show what a controller sees."`
	Doctor     doctorCmd                    `cmd:"" help:"Tell what is wrong, and what a person must do; status 1 if anything."`
	Why        whyCmd                       `cmd:"" help:"Tell why a job waits."`
	Settings   settingsCmd                  `cmd:"" help:"Read or change the operators' settings."`
	Check      checkCmd                     `cmd:"" help:"Check a settings file and exit."`
	Completion kongplete.InstallCompletions `cmd:"" help:"Print what a shell needs to complete commands."`
	Version    versionCmd                   `cmd:"" help:"Print the version."`
}

type checkCmd struct {
	File string `arg:"" help:"The settings file." type:"path"`
}

type versionCmd struct{}

// The exit statuses; docs/pipelines.md and --help list them.
const (
	exitFailed    = 1 // the command failed, or what it waited for did
	exitUsage     = 2 // wrong arguments, settings or pipeline file
	exitCancelled = 3 // what it waited for was cancelled
)

// exitError ends the command with a status and without a message.
type exitError struct{ status int }

func (e *exitError) Error() string { return fmt.Sprintf("exit status %d", e.status) }

// usageError means wrong arguments, settings or input files.
type usageError struct{ error }

func (e *usageError) Unwrap() error { return e.error }

func main() {
	var commands cli
	parser := kong.Must(&commands, kong.Name("cherrywall"),
		kong.Description("Cluster scheduler. 'cherrywall --config FILE' runs a controller."),
		kong.Exit(func(status int) {
			if status != 0 {
				status = exitUsage
			}
			os.Exit(status)
		}))
	kongplete.Complete(parser)
	parsed, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	parsed.BindTo(context.Background(), (*context.Context)(nil))
	if err := parsed.Run(&commands); err != nil {
		os.Exit(report(err))
	}
}

// report prints the error of a command, if it has a message, and returns the exit status.
func report(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.status
	}
	fmt.Fprintln(os.Stderr, "cherrywall:", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}

// Run prints the version.
func (versionCmd) Run() error {
	fmt.Println("cherrywall", version)
	return nil
}

// Run checks the settings file.
func (c checkCmd) Run() error {
	if _, err := config.Load(c.File); err != nil {
		return &usageError{err}
	}
	fmt.Println("ok")
	return nil
}
