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

// wholeTree is the path of a finding that is not about one place.
const wholeTree = "$"

// Finding is one fault of a tree.
type Finding = finding.Finding

// FindingsError reports every fault of a tree at once.
type FindingsError = finding.Error

// syntaxFinding turns an error of the YAML library into a finding.
func syntaxFinding(err error) Finding {
	found := Finding{Path: wholeTree, Reason: err.Error()}
	var located yaml.Error
	if errors.As(err, &located) {
		found.Reason = located.GetMessage()
		found.Line, found.Column = position(located.GetToken())
	}
	return found
}

func position(t *token.Token) (line, column int) {
	if t == nil || t.Position == nil {
		return 0, 0
	}
	return t.Position.Line, t.Position.Column
}

// errNoTree says that a text holds no tree.
var errNoTree = errors.New("no tree in the text")

// body returns the root node of a text.
func body(data []byte) (ast.Node, error) {
	file, err := yamlparser.ParseBytes(data, 0)
	if err != nil {
		return nil, err
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, errNoTree
	}
	return file.Docs[0].Body, nil
}

// located sorts findings by path and adds the place in the text to each that lacks it.
func located(root ast.Node, findings []Finding) []Finding {
	slices.SortStableFunc(findings, func(a, b Finding) int { return strings.Compare(a.Path, b.Path) })
	for i, f := range findings {
		if f.Line == 0 {
			findings[i].Line, findings[i].Column = position(find(root, strings.Split(f.Path, ".")))
		}
	}
	return findings
}

// find returns the token of the key at a path, or of the nearest level above it that exists.
func find(node ast.Node, path []string) *token.Token {
	var last *token.Token
	for _, name := range path {
		value := child(node, name)
		if value == nil {
			return last
		}
		last = value.Key.GetToken()
		node = value.Value
	}
	return last
}

func child(node ast.Node, name string) *ast.MappingValueNode {
	for _, value := range mappingValues(node) {
		if value.Key.GetToken().Value == name {
			return value
		}
	}
	return nil
}
