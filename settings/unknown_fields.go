package settings

import (
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// mergeKey is the YAML merge key, which copies the entries of another mapping.
const mergeKey = "<<"

// unknownFields returns a finding for each key that the raw form of a tree has no field for. The YAML
// library stops at the first unknown key, and not at the same one every time.
func unknownFields(node ast.Node, typ reflect.Type, path string) []Finding {
	var findings []Finding
	for _, entry := range mappingEntries(node) {
		name := entry.Key.GetToken().Value
		keyPath := joinPath(path, name)
		valueType, ok := fieldType(typ, name)
		if !ok {
			line, column := position(entry.Key.GetToken())
			findings = append(findings, Finding{Path: keyPath, Reason: "unknown field", Line: line, Column: column})
			continue
		}
		findings = append(findings, unknownFields(entry.Value, valueType, keyPath)...)
	}
	return findings
}

// mappingEntries returns the entries of a mapping, or nil for any other node.
func mappingEntries(node ast.Node) []*ast.MappingValueNode {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	case *ast.AnchorNode:
		return mappingEntries(n.Value)
	default:
		return nil
	}
}

// fieldType returns the type of the value under a key of typ, and false if typ has no such key.
func fieldType(typ reflect.Type, name string) (reflect.Type, bool) {
	if name == mergeKey {
		return typ, true
	}
	switch typ.Kind() {
	case reflect.Map:
		return typ.Elem(), true
	case reflect.Struct:
		for i := range typ.NumField() {
			if field := typ.Field(i); field.Tag.Get("yaml") == name {
				return field.Type, true
			}
		}
		return nil, false
	default:
		// typeMismatches reports a mapping where a scalar is expected, so its keys are not unknown fields.
		return typ, true
	}
}

func joinPath(path, name string) string {
	return strings.TrimPrefix(path+"."+name, ".")
}
