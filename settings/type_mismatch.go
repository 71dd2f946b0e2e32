package settings

import (
	"reflect"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// typeMismatches returns a finding for each value whose type does not match the field of its key. The
// YAML library stops at the first mismatch and does not report its path.
func typeMismatches(node ast.Node, typ reflect.Type, path string) []Finding {
	if typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	switch n := node.(type) {
	case nil, *ast.NullNode, *ast.AliasNode:
		return nil
	case *ast.AnchorNode:
		return typeMismatches(n.Value, typ, path)
	}
	if typ.Kind() != reflect.Struct && typ.Kind() != reflect.Map {
		return scalarMismatch(node, typ, path)
	}
	if node.Type() != ast.MappingType && node.Type() != ast.MappingValueType {
		return []Finding{mismatchAt(node, path, "must be a mapping")}
	}
	var findings []Finding
	for _, entry := range mappingEntries(node) {
		name := entry.Key.GetToken().Value
		valueType, ok := fieldType(typ, name)
		if !ok {
			continue
		}
		findings = append(findings, typeMismatches(entry.Value, valueType, joinPath(path, name))...)
	}
	return findings
}

func scalarMismatch(node ast.Node, typ reflect.Type, path string) []Finding {
	if yaml.NodeToValue(node, reflect.New(typ).Interface()) == nil {
		return nil
	}
	return []Finding{mismatchAt(node, path, "must be "+describeScalar(typ))}
}

func mismatchAt(node ast.Node, path, reason string) Finding {
	if path == "" {
		path = rootPath
	}
	line, column := position(node.GetToken())
	return Finding{Path: path, Reason: reason, Line: line, Column: column}
}

func describeScalar(typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.Int:
		return "an integer"
	case reflect.Uint32:
		return "a non-negative integer"
	case reflect.Float64:
		return "a number"
	case reflect.Bool:
		return "true or false"
	default:
		return "a string"
	}
}
