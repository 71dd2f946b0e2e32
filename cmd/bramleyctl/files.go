package main

import (
	"io"
	"os"

	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/settings"
)

// stdinName stands for standard input in place of a file.
const stdinName = "-"

func readFile(name string) ([]byte, error) {
	if name == stdinName {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// readTree reads a file and checks the tree in it. Each finding of the error names the file.
func readTree(name string) ([]byte, *settings.Tree, error) {
	data, err := readFile(name)
	if err != nil {
		return nil, nil, err
	}
	tree, err := settings.Parse(data, 0)
	if err != nil {
		return nil, nil, inFile(name, err)
	}
	return data, tree, nil
}

// fileError is the findings of one file.
type fileError struct {
	file     string
	findings []settings.Finding
}

// Error lists the findings, one a line, in the form that editors jump to.
func (e *fileError) Error() string {
	text := ""
	for i, f := range e.findings {
		if i > 0 {
			text += "\n"
		}
		text += e.file + ":" + f.String()
	}
	return text
}

func inFile(name string, err error) error {
	var findings *settings.FindingsError
	if errors.As(err, &findings) {
		return &fileError{file: name, findings: findings.Findings}
	}
	return errors.Annotate(err, name)
}
