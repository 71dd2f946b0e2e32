package settings

import (
	"reflect"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// mistyped returns a finding for each value of the text that does not fit the field of its key. The
// library stops at the first one and does not name its path.
func mistyped(node ast.Node, kind reflect.Type, path string) []Finding {
	if kind.Kind() == reflect.Pointer {
		kind = kind.Elem()
	}
	switch n := node.(type) {
	case nil, *ast.NullNode, *ast.AliasNode:
		return nil
	case *ast.AnchorNode:
		return mistyped(n.Value, kind, path)
	}
	if kind.Kind() != reflect.Struct && kind.Kind() != reflect.Map {
		return mistypedScalar(node, kind, path)
	}
	if node.Type() != ast.MappingType && node.Type() != ast.MappingValueType {
		return []Finding{mistypedAt(node, path, "must be a mapping")}
	}
	var findings []Finding
	for _, value := range mappingValues(node) {
		name := value.Key.GetToken().Value
		next, ok := fieldType(kind, name)
		if !ok {
			continue
		}
		findings = append(findings, mistyped(value.Value, next, join(path, name))...)
	}
	return findings
}

func mistypedScalar(node ast.Node, kind reflect.Type, path string) []Finding {
	if yaml.NodeToValue(node, reflect.New(kind).Interface()) == nil {
		return nil
	}
	return []Finding{mistypedAt(node, path, "must be "+scalarName(kind))}
}

func mistypedAt(node ast.Node, path, reason string) Finding {
	if path == "" {
		path = wholeTree
	}
	line, column := position(node.GetToken())
	return Finding{Path: path, Reason: reason, Line: line, Column: column}
}

// scalarName describes the values of a type to an operator.
func scalarName(kind reflect.Type) string {
	switch kind.Kind() {
	case reflect.Int:
		return "a whole number"
	case reflect.Uint32:
		return "a whole number that is not negative"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	default:
		return "a text"
	}
}
