package main

import (
	"errors"
	"fmt"

	"papayastair.dev/papayastair/settings"
	"papayastair.dev/papayastair/wire"
)

// checkCommand checks settings offline.
type checkCommand struct {
	Files   []string `arg:"" type:"existingfile" help:"Subtrees of the shared hierarchy, checked together."`
	Process bool     `help:"The files are process settings."`
}

// Run reports all problems at once.
func (c checkCommand) Run(out output) error {
	if c.Process {
		return c.checkProcesses(out)
	}
	subtrees, err := parseSubtrees(c.Files)
	if err != nil {
		return err
	}
	if _, problems := settings.Resolve(subtrees); problems.Err() != nil {
		return problems.Err()
	}

	return out.print(checkResult{Files: len(c.Files)}, fmt.Sprintf("%d files are in order", len(c.Files)))
}

func (c checkCommand) checkProcesses(out output) error {
	problems := make(settings.Problems, 0, len(c.Files))
	for _, file := range c.Files {
		_, err := settings.ParseProcess(file)
		problems = append(problems, problemsOf(err)...)
	}
	if err := problems.Err(); err != nil {
		return err
	}

	return out.print(checkResult{Files: len(c.Files)}, fmt.Sprintf("%d files are in order", len(c.Files)))
}

// checkResult is the output of a check without problems.
type checkResult struct {
	Files int
}

// parseSubtrees reads subtrees and reports the problems of all files.
func parseSubtrees(files []string) ([]wire.Subtree, error) {
	var problems settings.Problems
	subtrees := make([]wire.Subtree, 0, len(files))
	for _, file := range files {
		subtree, err := settings.ParseSubtree(file)
		if err != nil {
			problems = append(problems, problemsOf(err)...)

			continue
		}
		subtrees = append(subtrees, subtree)
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}

	return subtrees, nil
}

func problemsOf(err error) settings.Problems {
	if err == nil {
		return nil
	}
	var problems settings.Problems
	if errors.As(err, &problems) {
		return problems
	}

	return settings.Problems{{Reason: err.Error()}}
}
