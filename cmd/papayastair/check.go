package main

import (
	"errors"
	"fmt"

	"papayastair.dev/papayastair/platform"
	"papayastair.dev/papayastair/settings"
	"papayastair.dev/papayastair/wire"
)

// checkCommand checks settings offline.
type checkCommand struct {
	Files   []string `arg:"" type:"existingfile" help:"Subtrees of the shared hierarchy, checked together."`
	Process bool     `help:"The files are process settings."`
	Node    bool     `help:"The files are settings files, or the deploy file, of the users' platform."`
}

// Run reports all problems at once.
func (c checkCommand) Run(out output) error {
	if c.Process {
		return c.checkAll(out, func(file string) error {
			_, err := settings.ParseProcess(file)

			return err
		})
	}
	if c.Node {
		return c.checkAll(out, platform.Check)
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

// checkAll checks files one by one.
func (c checkCommand) checkAll(out output, check func(file string) error) error {
	problems := make(settings.Problems, 0, len(c.Files))
	for _, file := range c.Files {
		for _, p := range problemsOf(check(file)) {
			if p.File == "" {
				p.File = file
				p.Path = "/"
			}
			problems = append(problems, p)
		}
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
