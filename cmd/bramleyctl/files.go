package main

import (
	"io"
	"os"

	"github.com/juju/errors"

	"github.com/bramleyrack/bramleyrack/settings"
)

// stdinName is the file name that selects standard input.
const stdinName = "-"

func readFile(name string) ([]byte, error) {
	if name == stdinName {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// readTree reads and checks the settings tree in a file. Each finding in the error names the file.
func readTree(name string) ([]byte, *settings.Tree, error) {
	data, err := readFile(name)
	if err != nil {
		return nil, nil, err
	}
	tree, err := settings.Parse(data, 0)
	if err != nil {
		return nil, nil, annotateFile(name, err)
	}
	return data, tree, nil
}

// fileError holds the findings about one file.
type fileError struct {
	file     string
	findings []settings.Finding
}

// Error lists the findings, one per line, in the FILE:LINE:COLUMN format that editors recognize.
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

// annotateFile adds the name of the file to an error.
func annotateFile(name string, err error) error {
	var findings *settings.FindingsError
	if errors.As(err, &findings) {
		return &fileError{file: name, findings: findings.Findings}
	}
	return errors.Annotate(err, name)
}
