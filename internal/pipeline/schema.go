package pipeline

import (
	"encoding/json"
	"reflect"

	"github.com/invopop/jsonschema"
)

func typeOf[T any]() reflect.Type { return reflect.TypeFor[T]() }

// The forms that keys may have besides the plain one, as editors are told them.

func (scalar) JSONSchema() *jsonschema.Schema {
	return either(&jsonschema.Schema{Type: "string"}, &jsonschema.Schema{Type: "number"}, &jsonschema.Schema{Type: "boolean"})
}

func (oneOrMore) JSONSchema() *jsonschema.Schema {
	return either(&jsonschema.Schema{Type: "string"}, &jsonschema.Schema{Type: "array", Items: &jsonschema.Schema{Type: "string"}})
}

func (image) JSONSchema() *jsonschema.Schema {
	return either(&jsonschema.Schema{Type: "string"}, object(map[string]*jsonschema.Schema{"name": {Type: "string"}}))
}

func (duration) JSONSchema() *jsonschema.Schema {
	return either(&jsonschema.Schema{Type: "string", Pattern: `^\s*[0-9]`}, &jsonschema.Schema{Type: "number"})
}

func (allowFailure) JSONSchema() *jsonschema.Schema {
	return either(&jsonschema.Schema{Type: "boolean"}, &jsonschema.Schema{Type: "object"})
}

func (retry) JSONSchema() *jsonschema.Schema {
	whole := &jsonschema.Schema{Type: "integer", Minimum: "0"}
	return either(whole, object(map[string]*jsonschema.Schema{"max": whole, "when": oneOrMore{}.JSONSchema(),
		"exit_codes": {}}))
}

func (parallel) JSONSchema() *jsonschema.Schema {
	row := &jsonschema.Schema{Type: "object", AdditionalProperties: oneOrMore{}.JSONSchema()}
	return either(&jsonschema.Schema{Type: "integer", Minimum: "1", Maximum: "200"},
		object(map[string]*jsonschema.Schema{"matrix": {Type: "array", Items: row}}))
}

func (needs) JSONSchema() *jsonschema.Schema {
	one := object(map[string]*jsonschema.Schema{"job": {Type: "string"}, "optional": {Type: "boolean"}, "artifacts": {Type: "boolean"}})
	return &jsonschema.Schema{Type: "array", Items: either(&jsonschema.Schema{Type: "string"}, one)}
}

func either(forms ...*jsonschema.Schema) *jsonschema.Schema { return &jsonschema.Schema{AnyOf: forms} }

func object(props map[string]*jsonschema.Schema) *jsonschema.Schema {
	s := &jsonschema.Schema{Type: "object", Properties: jsonschema.NewProperties(), AdditionalProperties: jsonschema.FalseSchema}
	for _, key := range []string{"name", "max", "when", "exit_codes", "matrix", "job", "optional", "artifacts"} {
		if p := props[key]; p != nil {
			s.Properties.Set(key, p)
		}
	}
	return s
}

// Schema is the JSON schema of pipeline files, made from the types that read them.
func Schema() ([]byte, error) {
	r := &jsonschema.Reflector{DoNotReference: true, Anonymous: true}
	s := r.Reflect(&file{})
	s.Title = "cherrywall pipeline file"
	job := r.Reflect(&jobKeys{})
	job.Version = ""
	for _, key := range ignoredKeys {
		job.Properties.Set(key, &jsonschema.Schema{Description: "Has no meaning for cherrywall."})
		s.Properties.Set(key, &jsonschema.Schema{Description: "Has no meaning for cherrywall."})
	}
	s.AdditionalProperties = job
	return json.MarshalIndent(s, "", "  ")
}
