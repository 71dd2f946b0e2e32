package settings

import (
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// mergeKey copies the fields of another mapping.
const mergeKey = "<<"

// unknownFields returns a finding for each key of the text that the raw form of a tree has no field
// for. The library stops at the first one, and not at the same one every time.
func unknownFields(node ast.Node, kind reflect.Type, path string) []Finding {
	var findings []Finding
	for _, value := range mappingValues(node) {
		name := value.Key.GetToken().Value
		inner := join(path, name)
		next, ok := fieldType(kind, name)
		if !ok {
			line, column := position(value.Key.GetToken())
			findings = append(findings, Finding{Path: inner, Reason: "unknown field", Line: line, Column: column})
			continue
		}
		findings = append(findings, unknownFields(value.Value, next, inner)...)
	}
	return findings
}

// mappingValues returns the entries of a mapping, or none for any other node.
func mappingValues(node ast.Node) []*ast.MappingValueNode {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	case *ast.AnchorNode:
		return mappingValues(n.Value)
	default:
		return nil
	}
}

// fieldType returns the type of the values under a key.
func fieldType(kind reflect.Type, name string) (reflect.Type, bool) {
	if name == mergeKey {
		return kind, true
	}
	switch kind.Kind() {
	case reflect.Map:
		return kind.Elem(), true
	case reflect.Struct:
		for i := range kind.NumField() {
			if field := kind.Field(i); field.Tag.Get("yaml") == name {
				return field.Type, true
			}
		}
		return nil, false
	default:
		// A mapping in place of a plain value is an error of its type.
		return kind, true
	}
}

func join(path, name string) string {
	return strings.TrimPrefix(path+"."+name, ".")
}
