package settings

import (
	"errors"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	yamlparser "github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/bramleyrack/bramleyrack/internal/finding"
)

// rootPath is the path of a finding about the whole document.
const rootPath = "$"

// Finding is one problem in a settings tree.
type Finding = finding.Finding

// FindingsError reports all problems in a settings tree together.
type FindingsError = finding.Error

// syntaxFinding converts an error of the YAML library into a finding.
func syntaxFinding(err error) Finding {
	found := Finding{Path: rootPath, Reason: err.Error()}
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		found.Reason = yamlErr.GetMessage()
		found.Line, found.Column = position(yamlErr.GetToken())
	}
	return found
}

func position(tok *token.Token) (line, column int) {
	if tok == nil || tok.Position == nil {
		return 0, 0
	}
	return tok.Position.Line, tok.Position.Column
}

var errNotOneDocument = errors.New("settings tree must be exactly one non-empty YAML document")

// parseDocument returns the root node of the only YAML document in data.
func parseDocument(data []byte) (ast.Node, error) {
	file, err := yamlparser.ParseBytes(data, 0)
	if err != nil {
		return nil, err
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, errNotOneDocument
	}
	return file.Docs[0].Body, nil
}

// locateFindings sorts findings by path and sets line and column where they are missing.
func locateFindings(root ast.Node, findings []Finding) []Finding {
	slices.SortStableFunc(findings, func(a, b Finding) int { return strings.Compare(a.Path, b.Path) })
	for i, f := range findings {
		if f.Line == 0 {
			findings[i].Line, findings[i].Column = position(keyToken(root, strings.Split(f.Path, ".")))
		}
	}
	return findings
}

// keyToken returns the token of the key at path, or of its nearest ancestor that exists.
func keyToken(node ast.Node, path []string) *token.Token {
	var last *token.Token
	for _, name := range path {
		entry := childEntry(node, name)
		if entry == nil {
			return last
		}
		last = entry.Key.GetToken()
		node = entry.Value
	}
	return last
}

func childEntry(node ast.Node, name string) *ast.MappingValueNode {
	for _, entry := range mappingEntries(node) {
		if entry.Key.GetToken().Value == name {
			return entry
		}
	}
	return nil
}
