package settings

import (
	"fmt"
	"strings"
)

// Problem is one reason why settings are refused.
type Problem struct {
	// File is the name of the file, or the path of the subtree when the
	// subtree did not come from a file.
	File string
	// Path is the place in the file, as a JSON Pointer.
	Path string
	// Reason says what is wrong there.
	Reason string
}

// String is the problem in one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: %s", p.File, p.Path, p.Reason)
}

// Problems are all reasons why settings are refused, as an error.
type Problems []Problem

// Error lists the problems one a line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}

	return strings.Join(lines, "\n")
}

// Err is p as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}

	return p
}

// InFiles returns the problems with the paths of subtrees replaced by the
// names of the files that they came from.
func (p Problems) InFiles(fileOf map[string]string) Problems {
	named := make(Problems, 0, len(p))
	for _, problem := range p {
		if file, ok := fileOf[problem.File]; ok {
			problem.File = file
		}
		named = append(named, problem)
	}

	return named
}
