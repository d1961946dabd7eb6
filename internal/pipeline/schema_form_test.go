package pipeline

import (
	"os"
	"testing"
)

// TestSchemaIsUnchanged compares the schema of pipeline files with a golden file. The schema is published for
// use by editors, and a change of the types that decode the files would change it.
func TestSchemaIsUnchanged(t *testing.T) {
	golden, err := os.ReadFile("testdata/schema.json")
	if err != nil {
		t.Fatal(err)
	}
	schema, err := Schema()
	if err != nil {
		t.Fatal(err)
	}
	if string(schema)+"\n" != string(golden) {
		t.Errorf("schema is\n%s\nwant\n%s", schema, golden)
	}
}
