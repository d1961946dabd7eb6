package pipeline

import (
	"os"
	"testing"
)

// TestSchemaIsUnchanged holds the published schema of pipeline files against a golden file: editors
// use it, and it is made from the types that read the files.
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
