// Command papayastair serves many models from fewer accelerators. Run
// "papayastair --help" for its subcommands, and "papayastair demo" to see it
// work.
//
// Exit codes: 0 success, 1 failure, 2 bad usage or settings, 3 a conflict with
// another operator, 4 differences found by diff. For explain: 0 if the request would be
// placed, 1 if it would be refused, 2 if an instance, route or workspace is unknown.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"papayastair.dev/papayastair/settings"
)

const _version = "0.1.0"

// Exit codes.
const (
	_exitFailure    = 1
	_exitUsage      = 2
	_exitConflict   = 3
	_exitDifference = 4
)

// cli is the command line.
type cli struct {
	Output  string           `help:"Form of the output: text or json." enum:"text,json" default:"text"`
	Version kong.VersionFlag `help:"Print the version."`

	Serve   serveCommand   `cmd:"" help:"Run one instance. Example: papayastair serve instance-1.json"`
	Apply   applyCommand   `cmd:"" help:"Bring subtrees into force. Example: papayastair apply --platform 127.0.0.1:9000 hierarchy/*.json"`
	Diff    diffCommand    `cmd:"" help:"Compare subtrees with what is in force; exit code 4 if they differ."`
	Get     getCommand     `cmd:"" help:"Read the configuration in force."`
	Status  statusCommand  `cmd:"" help:"Ask an instance what it has in force and sees. Example: papayastair status --operator 127.0.0.1:9300"`
	Explain explainCommand `cmd:"" help:"Ask entry instances where a request would go now, and why, without sending it; exit code 1 if it would be refused. Example: papayastair explain --entry 127.0.0.1:7790 --route badges --workspace desk --model badge-layout"`
	Locate  locateCommand  `cmd:"" help:"Ask an instance which one to use."`
	Demo    demoCommand    `cmd:"" help:"Run a small fleet on stand-ins in this process, with traffic and checks."`
	Check   checkCommand   `cmd:"" help:"Check settings without any process. Example: papayastair check hierarchy/*.json"`
	Standin standinCommand `cmd:"" help:"Run a stand-in of an outside system."`
	Load    loadCommand    `cmd:"" help:"Measure a fleet under load: load FILE, load compare A B."`
}

// exitError is a failure with an exit code of its own.
type exitError struct {
	code int
	err  error
}

// Error is the text of the failure.
func (e *exitError) Error() string {
	return e.err.Error()
}

// Unwrap is the failure itself.
func (e *exitError) Unwrap() error {
	return e.err
}

// output writes results in the form that was asked for.
type output struct {
	w    io.Writer
	json bool
}

// print writes value as JSON, or text as it is.
func (o output) print(value any, text string) error {
	if !o.json {
		_, err := fmt.Fprintln(o.w, text)

		return err
	}
	enc := json.NewEncoder(o.w)
	enc.SetIndent("", "  ")

	return enc.Encode(value)
}

func main() {
	var c cli
	ctx := kong.Parse(&c,
		kong.Name("papayastair"),
		kong.Description("Many models on fewer accelerators."),
		kong.UsageOnError(),
		kong.Vars{"version": _version},
		kong.Exit(func(code int) {
			if code != 0 {
				code = _exitUsage
			}
			os.Exit(code)
		}),
	)
	err := ctx.Run(output{
		w:    os.Stdout,
		json: c.Output == "json",
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "papayastair:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	var problems settings.Problems
	if errors.As(err, &problems) {
		return _exitUsage
	}

	return _exitFailure
}
