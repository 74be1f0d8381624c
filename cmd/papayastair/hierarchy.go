package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"papayastair.dev/papayastair/configuration"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/platform"
	"papayastair.dev/papayastair/settings"
	"papayastair.dev/papayastair/wire"
)

const _commandTimeout = 30 * time.Second

// platformFlag is how a command reaches the platform.
type platformFlag struct {
	Platform string `required:"" env:"PAPAYASTAIR_PLATFORM" help:"The IP:port of the platform's object API."`
}

// applier returns access to the configuration under a writer of its own.
func (p platformFlag) applier() *configuration.Applier {
	return &configuration.Applier{
		Store:    platform.NewClient(p.Platform, metrics.NewRegistry()).Store("Operator"),
		WriterID: "operator-" + uuid.NewString(),
		Sleep: func(ctx context.Context, d time.Duration) {
			// It returns early when ctx ends, which the caller looks at.
			_ = objectstore.Sleep(ctx, d)
		},
	}
}

// changeFlags say what a change consists of.
type changeFlags struct {
	Files  []string `arg:"" optional:"" type:"existingfile" help:"Subtrees of the shared hierarchy, one a file."`
	Remove []string `help:"Paths of subtrees to remove."`
}

func (c changeFlags) change() (configuration.Change, error) {
	subtrees, err := parseSubtrees(c.Files)
	if err == nil && len(subtrees)+len(c.Remove) == 0 {
		err = &exitError{
			code: _exitUsage,
			err:  eris.New("no files and nothing to remove"),
		}
	}

	return configuration.Change{
		Subtrees: subtrees,
		Removed:  c.Remove,
	}, err
}

// applyCommand brings subtrees into force, all of them or none.
type applyCommand struct {
	platformFlag
	changeFlags

	Base int `help:"The version that the files were made from: refuse if another operator has changed one of their subtrees since. 0 compares with what is in force now."`
}

// Run prints the differences and commits them.
func (a applyCommand) Run(out output) error {
	ctx, cancel := context.WithTimeout(context.Background(), _commandTimeout)
	defer cancel()
	change, err := a.change()
	if err != nil {
		return err
	}
	applier := a.applier()
	plan, err := applier.Plan(ctx, change)
	if err != nil {
		return err
	}
	if err := checkBase(plan, a.Base); err != nil {
		return &exitError{
			code: _exitConflict,
			err:  err,
		}
	}
	if !out.json {
		printDifferences(out, plan.Differences)
	}
	result, err := applier.Commit(ctx, plan)
	var conflict *configuration.ConflictError
	if errors.As(err, &conflict) {
		return &exitError{
			code: _exitConflict,
			err:  err,
		}
	}
	if err != nil {
		return err
	}

	return out.print(applyResult{
		Version:     result.Version,
		Changed:     result.Changed,
		Differences: plan.Differences,
	}, fmt.Sprintf("version %d, changed: %t", result.Version, result.Changed))
}

// applyResult is the output of apply.
type applyResult struct {
	Version     int
	Changed     bool
	Differences []configuration.Difference
}

// checkBase refuses a change of a subtree that is newer than base.
func checkBase(plan configuration.Plan, base int) error {
	if base == 0 {
		return nil
	}
	for _, ref := range plan.Base.Subtrees {
		for _, subtree := range plan.Change.Subtrees {
			if ref.Path == subtree.Path && ref.Since > base {
				return &configuration.ConflictError{
					Path:    ref.Path,
					Version: ref.Since,
				}
			}
		}
	}

	return nil
}

func printDifferences(out output, differences []configuration.Difference) {
	for _, d := range differences {
		_, _ = fmt.Fprintln(out.w, d)
	}
}

// diffCommand compares files with the configuration.
type diffCommand struct {
	platformFlag
	changeFlags
}

// Run prints the differences; there are some if the exit code is 4.
func (d diffCommand) Run(out output) error {
	ctx, cancel := context.WithTimeout(context.Background(), _commandTimeout)
	defer cancel()
	change, err := d.change()
	if err != nil {
		return err
	}
	plan, err := d.applier().Plan(ctx, change)
	if err != nil {
		return err
	}
	lines := make([]string, 0, len(plan.Differences))
	for _, difference := range plan.Differences {
		lines = append(lines, difference.String())
	}
	if err := out.print(plan.Differences, strings.Join(lines, "\n")); err != nil {
		return err
	}
	if len(lines) == 0 {
		return nil
	}

	return &exitError{
		code: _exitDifference,
		err:  eris.Errorf("%d differences from version %d", len(lines), plan.Base.Version),
	}
}

// getCommand reads the configuration.
type getCommand struct {
	platformFlag

	Path string `help:"Only this subtree."`
	To   string `type:"path" help:"Write each subtree as a file into this directory."`
}

// Run prints the subtrees, or writes them.
func (g getCommand) Run(out output) error {
	ctx, cancel := context.WithTimeout(context.Background(), _commandTimeout)
	defer cancel()
	head, subtrees, err := g.applier().Read(ctx)
	if err != nil {
		return err
	}
	result := getResult{Version: head.Version}
	texts := []string{fmt.Sprintf("version %d", head.Version)}
	for _, subtree := range subtrees {
		if g.Path != "" && subtree.Path != g.Path {
			continue
		}
		result.Subtrees = append(result.Subtrees, subtree)
		texts = append(texts, settings.Encode(subtree))
		if err := g.write(subtree); err != nil {
			return err
		}
	}
	if g.Path != "" && len(result.Subtrees) == 0 {
		return eris.Errorf("no subtree %s in version %d", g.Path, head.Version)
	}

	return out.print(result, strings.Join(texts, "\n"))
}

// getResult is the output of get.
type getResult struct {
	Version  int
	Subtrees []wire.Subtree
}

func (g getCommand) write(subtree wire.Subtree) error {
	if g.To == "" {
		return nil
	}
	name := strings.ReplaceAll(strings.Trim(subtree.Path, "/"), "/", ".")
	if name == "" {
		name = "root"
	}
	file := filepath.Join(g.To, name+".json")

	return eris.Wrapf(os.WriteFile(file, []byte(settings.Encode(subtree)+"\n"), 0o600), "get: write %s", file)
}
