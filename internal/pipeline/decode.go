package pipeline

import (
	"reflect"
	"regexp"
	"strings"

	"go.yaml.in/yaml/v3"
)

// fieldsByKey returns the indexes of a struct's fields by their keys in the file, which are the names in
// the fields' json tags.
func fieldsByKey(structType reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range structType.NumField() {
		if key, _, _ := strings.Cut(structType.Field(i).Tag.Get("json"), ","); key != "" {
			fields[key] = i
		}
	}
	return fields
}

// decodeMapping decodes a mapping into the struct to which destination points. It decodes key by key, so
// that the problems of all keys are reported and not only the first one. prefix precedes the keys in
// problem texts. handleUnknownKey is called for each key that the struct has no field for.
func (c *problemCollector) decodeMapping(node *yaml.Node, prefix string, destination any, handleUnknownKey func(key, value *yaml.Node)) {
	target := reflect.ValueOf(destination).Elem()
	fields := fieldsByKey(target.Type())
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], resolveAlias(node.Content[i+1])
		index, isKnown := fields[key.Value]
		if !isKnown {
			handleUnknownKey(key, value)
			continue
		}
		if value.Kind == yaml.ScalarNode && value.Tag == "!!null" {
			continue // a key without a value is treated as omitted
		}
		c.decodeField(value, prefix+key.Value, target.Field(index))
	}
}

// decodeField decodes the value of a key into a field. name is the key as problem texts show it.
func (c *problemCollector) decodeField(value *yaml.Node, name string, field reflect.Value) {
	if field.Type() != reflect.TypeFor[cluster]() {
		if err := value.Decode(field.Addr().Interface()); err != nil {
			c.addError(value, name, err)
		}
		return
	}
	if value.Kind != yaml.MappingNode {
		c.addProblem(value, "%s: must be a mapping", name)
		return
	}
	c.decodeMapping(value, name+".", field.Addr().Interface(), func(key, _ *yaml.Node) {
		c.addProblem(key, "%s.%s: unknown key%s", name, key.Value, suggestKey(key.Value, field.Type()))
	})
}

var variablePattern = regexp.MustCompile(`\$\$|\$\{[A-Za-z_][A-Za-z0-9_]*\}|\$[A-Za-z_][A-Za-z0-9_]*`)

// expandVariables replaces variables by their values in all scalars of a tree, in place, and replaces $$ by
// $. It reports variables that are not set. name is the tree's key as problem texts show it.
func (c *problemCollector) expandVariables(node *yaml.Node, name string, variables map[string]string) {
	for _, child := range node.Content {
		c.expandVariables(child, name, variables)
	}
	if node.Kind != yaml.ScalarNode || !strings.Contains(node.Value, "$") {
		return
	}
	node.Value = variablePattern.ReplaceAllStringFunc(node.Value, func(reference string) string {
		if reference == "$$" {
			return "$"
		}
		variable := strings.Trim(reference, "${}")
		value, isKnown := variables[variable]
		if !isKnown {
			c.addProblem(node, "%s: variable %s is not set", name, variable)
		}
		return value
	})
	node.Tag, node.Style = "", 0 // so that the value of a variable can be decoded as a number
}
