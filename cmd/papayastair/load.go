package main

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"papayastair.dev/papayastair/load"
	"papayastair.dev/papayastair/settings"
	"papayastair.dev/papayastair/wire"
)

// loadCommand measures a fleet under load.
type loadCommand struct {
	Run     loadRunCommand     `cmd:"" default:"withargs" help:"Send an experiment's requests and print the measures. Example: papayastair load load/experiments/kandy.json"`
	Compare loadCompareCommand `cmd:"" help:"Print two results with their ratios."`
	Subtree loadSubtreeCommand `cmd:"" help:"Print an experiment's subtree, to be applied to a running system once its addresses are filled in."`
}

// loadRunCommand runs an experiment.
type loadRunCommand struct {
	File      string   `arg:"" type:"existingfile" help:"The experiment."`
	Instances []string `help:"Callers' addresses of a running system; by default a fleet is brought up in this process."`
	Seed      *int     `help:"A seed instead of the experiment's."`
	NoFaults  bool     `help:"Leave the experiment's faults out."`
	LogFile   string   `help:"The file that the events of all instances go to."`
	Result    string   `help:"The JSON file to write the result to."`
	Plot      string   `help:"The PNG file to write attainment and fairness over time to."`
}

// Run prints the measures.
func (c loadRunCommand) Run(out output) error {
	e, err := load.ReadExperiment(c.File)
	if err != nil {
		return err
	}
	if c.Seed != nil {
		e.Seed = *c.Seed
	}
	// A running system is not ours to break.
	if c.NoFaults || len(c.Instances) > 0 {
		e.Faults = nil
	}
	result, err := c.measure(e)
	if err != nil {
		return err
	}
	if c.Result != "" {
		if err := result.Write(c.Result); err != nil {
			return err
		}
	}
	if c.Plot != "" {
		if err := result.Plot(c.Plot); err != nil {
			return err
		}
	}

	return out.print(result, result.Table())
}

// measure runs the experiment on a running system or a fleet of its own.
func (c loadRunCommand) measure(e *wire.Experiment) (*load.Result, error) {
	if len(c.Instances) > 0 {
		return load.Run(e, load.Target{
			Addresses: c.Instances,
			LogFile:   c.LogFile,
		}, os.Stderr)
	}
	logFile := c.LogFile
	if logFile == "" {
		directory, err := os.MkdirTemp("", "papayastair-load-")
		if err != nil {
			return nil, eris.Wrap(err, "directory for the log")
		}
		defer func() { _ = os.RemoveAll(directory) }()
		logFile = filepath.Join(directory, "events.log")
	}
	f, err := load.StartFleet(e, logFile)
	if err != nil {
		return nil, err
	}
	defer f.Close()

	return load.Run(e, load.Target{
		Addresses: f.Addresses(),
		Fleet:     f,
		LogFile:   logFile,
	}, os.Stderr)
}

// loadCompareCommand compares two results.
type loadCompareCommand struct {
	First  string `arg:"" type:"existingfile" help:"A result file."`
	Second string `arg:"" type:"existingfile" help:"Another one, whose ratios to the first are shown."`
}

// Run prints the table of both.
func (c loadCompareCommand) Run(out output) error {
	first, err := load.ReadResult(c.First)
	if err != nil {
		return err
	}
	second, err := load.ReadResult(c.Second)
	if err != nil {
		return err
	}

	return out.print([]*load.Result{first, second}, load.CompareTable(first, second))
}

// loadSubtreeCommand prints the hierarchy of an experiment.
type loadSubtreeCommand struct {
	File string `arg:"" type:"existingfile" help:"The experiment."`
}

// Run prints a subtree as apply takes it.
func (c loadSubtreeCommand) Run(out output) error {
	e, err := load.ReadExperiment(c.File)
	if err != nil {
		return err
	}
	subtree := load.Subtree(e)

	return out.print(subtree, settings.Encode(subtree))
}
