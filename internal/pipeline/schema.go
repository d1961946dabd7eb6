package pipeline

import (
	"encoding/json"

	"github.com/invopop/jsonschema"
)

// The types of keys that have several forms define their schema by the method JSONSchema, which the schema
// library calls.

func (scalar) JSONSchema() *jsonschema.Schema {
	return anyOf(&jsonschema.Schema{Type: "string"}, &jsonschema.Schema{Type: "number"}, &jsonschema.Schema{Type: "boolean"})
}

func (oneOrMore) JSONSchema() *jsonschema.Schema {
	return anyOf(&jsonschema.Schema{Type: "string"}, &jsonschema.Schema{Type: "array", Items: &jsonschema.Schema{Type: "string"}})
}

func (image) JSONSchema() *jsonschema.Schema {
	return anyOf(&jsonschema.Schema{Type: "string"}, closedObject(map[string]*jsonschema.Schema{"name": {Type: "string"}}))
}

func (duration) JSONSchema() *jsonschema.Schema {
	return anyOf(&jsonschema.Schema{Type: "string", Pattern: `^\s*[0-9]`}, &jsonschema.Schema{Type: "number"})
}

func (allowFailure) JSONSchema() *jsonschema.Schema {
	return anyOf(&jsonschema.Schema{Type: "boolean"}, &jsonschema.Schema{Type: "object"})
}

func (retry) JSONSchema() *jsonschema.Schema {
	count := &jsonschema.Schema{Type: "integer", Minimum: "0"}
	return anyOf(count, closedObject(map[string]*jsonschema.Schema{
		"max":        count,
		"when":       oneOrMore{}.JSONSchema(),
		"exit_codes": {},
	}))
}

func (parallel) JSONSchema() *jsonschema.Schema {
	count := &jsonschema.Schema{Type: "integer", Minimum: "1", Maximum: "200"}
	row := &jsonschema.Schema{Type: "object", AdditionalProperties: oneOrMore{}.JSONSchema()}
	return anyOf(count, closedObject(map[string]*jsonschema.Schema{"matrix": {Type: "array", Items: row}}))
}

func (needs) JSONSchema() *jsonschema.Schema {
	need := closedObject(map[string]*jsonschema.Schema{
		"job":       {Type: "string"},
		"optional":  {Type: "boolean"},
		"artifacts": {Type: "boolean"},
	})
	return &jsonschema.Schema{Type: "array", Items: anyOf(&jsonschema.Schema{Type: "string"}, need)}
}

func anyOf(forms ...*jsonschema.Schema) *jsonschema.Schema { return &jsonschema.Schema{AnyOf: forms} }

// propertyOrder is the order in which closedObject lists properties, so that the generated schema is always the
// same.
var propertyOrder = []string{"name", "max", "when", "exit_codes", "matrix", "job", "optional", "artifacts"}

// closedObject returns the schema of a mapping that allows these properties and no others. Each property must be
// in propertyOrder.
func closedObject(properties map[string]*jsonschema.Schema) *jsonschema.Schema {
	schema := &jsonschema.Schema{Type: "object", Properties: jsonschema.NewProperties(), AdditionalProperties: jsonschema.FalseSchema}
	for _, key := range propertyOrder {
		if property := properties[key]; property != nil {
			schema.Properties.Set(key, property)
		}
	}
	return schema
}

// Schema returns the JSON schema of pipeline files, generated from the types that decode them. It contains the
// keys of the GitLab format that are ignored, but not the keys that are unsupported.
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
