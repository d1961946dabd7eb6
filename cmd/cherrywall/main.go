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

// version is set in release builds with -ldflags "-X main.version=...".
var version = "dev"

// cli has the flags and commands of the command line. Their names derive from the names of the fields.
type cli struct {
	Config    string `help:"Run the daemon with this settings file." placeholder:"FILE" type:"path"`
	Pipelines bool   `help:"Enable pipeline files in the daemon."`
	Trace     string `help:"Append the trace spans of pipeline runs to this file." placeholder:"FILE" type:"path"`

	Run        runCmd                       `cmd:"" default:"withargs" hidden:"" help:"Run the daemon (requires --config)."`
	Demo       demoCmd                      `cmd:"" help:"Run an example pipeline on the loopback interface, with three controllers and fakes of their environment."`
	Submit     submitCmd                    `cmd:"" help:"Submit a job."`
	Watch      watchCmd                     `cmd:"" help:"Wait for jobs and print their progress."`
	Cancel     cancelCmd                    `cmd:"" help:"Cancel jobs."`
	Jobs       jobsCmd                      `cmd:"" help:"List the unfinished jobs."`
	Pipeline   pipelineCmd                  `cmd:"" help:"Check and run pipeline files."`
	Status     statusCmd                    `cmd:"" help:"Show a view of the cluster as one controller sees it."`
	Doctor     doctorCmd                    `cmd:"" help:"List problems and what an operator has to do about them; exit status 1 if there are any."`
	Why        whyCmd                       `cmd:"" help:"Show why a job waits."`
	Settings   settingsCmd                  `cmd:"" help:"Read or change the operators' settings."`
	Check      checkCmd                     `cmd:"" help:"Check a settings file and exit."`
	Completion kongplete.InstallCompletions `cmd:"" help:"Print the shell commands that enable command completion."`
	Version    versionCmd                   `cmd:"" help:"Print the version."`
}

type checkCmd struct {
	File string `arg:"" help:"Settings file." type:"path"`
}

type versionCmd struct{}

// The exit statuses, which docs/pipelines.md also lists.
const (
	exitFailed    = 1 // the command failed, or the job or run that it waited for failed
	exitUsage     = 2 // invalid arguments, settings or pipeline file
	exitCancelled = 3 // the job or run that the command waited for was cancelled
)

// exitError ends the command with an exit status and without a message.
type exitError struct{ status int }

func (e *exitError) Error() string { return fmt.Sprintf("exit status %d", e.status) }

// usageError reports invalid arguments, settings or input files.
type usageError struct{ error }

func (e *usageError) Unwrap() error { return e.error }

func main() {
	var commandLine cli
	parser := kong.Must(&commandLine, kong.Name("cherrywall"),
		kong.Description("Cluster scheduler. 'cherrywall --config FILE' runs a controller."),
		kong.Exit(func(status int) {
			if status != 0 {
				status = exitUsage
			}
			os.Exit(status)
		}))
	kongplete.Complete(parser)
	parsedCommand, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	parsedCommand.BindTo(context.Background(), (*context.Context)(nil))
	if err := parsedCommand.Run(&commandLine); err != nil {
		os.Exit(reportError(err))
	}
}

// reportError prints the error of a command, unless it is an exitError, and returns the exit status.
func reportError(err error) int {
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
