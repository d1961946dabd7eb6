package pipeline

import (
	"encoding/json"

	"github.com/invopop/jsonschema"
)

// The keys that have several forms implement the schema library's interface.

func (scalar) JSONSchema() *jsonschema.Schema {
	return anyOf(&jsonschema.Schema{Type: "string"}, &jsonschema.Schema{Type: "number"}, &jsonschema.Schema{Type: "boolean"})
}

func (oneOrMore) JSONSchema() *jsonschema.Schema {
	return anyOf(&jsonschema.Schema{Type: "string"}, &jsonschema.Schema{Type: "array", Items: &jsonschema.Schema{Type: "string"}})
}

func (image) JSONSchema() *jsonschema.Schema {
	return anyOf(&jsonschema.Schema{Type: "string"}, object(map[string]*jsonschema.Schema{"name": {Type: "string"}}))
}

func (duration) JSONSchema() *jsonschema.Schema {
	return anyOf(&jsonschema.Schema{Type: "string", Pattern: `^\s*[0-9]`}, &jsonschema.Schema{Type: "number"})
}

func (allowFailure) JSONSchema() *jsonschema.Schema {
	return anyOf(&jsonschema.Schema{Type: "boolean"}, &jsonschema.Schema{Type: "object"})
}

func (retry) JSONSchema() *jsonschema.Schema {
	count := &jsonschema.Schema{Type: "integer", Minimum: "0"}
	return anyOf(count, object(map[string]*jsonschema.Schema{
		"max":        count,
		"when":       oneOrMore{}.JSONSchema(),
		"exit_codes": {},
	}))
}

func (parallel) JSONSchema() *jsonschema.Schema {
	count := &jsonschema.Schema{Type: "integer", Minimum: "1", Maximum: "200"}
	row := &jsonschema.Schema{Type: "object", AdditionalProperties: oneOrMore{}.JSONSchema()}
	return anyOf(count, object(map[string]*jsonschema.Schema{"matrix": {Type: "array", Items: row}}))
}

func (needs) JSONSchema() *jsonschema.Schema {
	need := object(map[string]*jsonschema.Schema{
		"job":       {Type: "string"},
		"optional":  {Type: "boolean"},
		"artifacts": {Type: "boolean"},
	})
	return &jsonschema.Schema{Type: "array", Items: anyOf(&jsonschema.Schema{Type: "string"}, need)}
}

func anyOf(forms ...*jsonschema.Schema) *jsonschema.Schema { return &jsonschema.Schema{AnyOf: forms} }

// propertyOrder is the order in which object lists properties, so that the schema is the same each time.
var propertyOrder = []string{"name", "max", "when", "exit_codes", "matrix", "job", "optional", "artifacts"}

// object returns the schema of a mapping with these properties and no others.
func object(properties map[string]*jsonschema.Schema) *jsonschema.Schema {
	schema := &jsonschema.Schema{Type: "object", Properties: jsonschema.NewProperties(), AdditionalProperties: jsonschema.FalseSchema}
	for _, key := range propertyOrder {
		if property := properties[key]; property != nil {
			schema.Properties.Set(key, property)
		}
	}
	return schema
}

// Schema returns the JSON schema of pipeline files, made from the types that decode them. Keys of the
// published format without effect are in it, unsupported ones are not.
func Schema() ([]byte, error) {
	reflector := &jsonschema.Reflector{DoNotReference: true, Anonymous: true}
	schema := reflector.Reflect(&file{})
	schema.Title = "cherrywall pipeline file"
	job := reflector.Reflect(&jobKeys{})
	job.Version = ""
	for _, key := range ignoredKeys {
		job.Properties.Set(key, &jsonschema.Schema{Description: "Has no meaning for cherrywall."})
		schema.Properties.Set(key, &jsonschema.Schema{Description: "Has no meaning for cherrywall."})
	}
	schema.AdditionalProperties = job
	return json.MarshalIndent(schema, "", "  ")
}
