// Package encodedform compares the encoded form of records and messages with golden files. Stored
// records, messages between processes and responses to users and operators must keep the names and the
// order of their fields when the code is renamed or reorganised.
package encodedform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"
)

// updateVariable is the environment variable that makes Check write its golden file instead of comparing
// the forms with it. Use it only to add forms, never to accept a changed form.
const updateVariable = "WRITE_ENCODED_FORMS"

// Form is a type and its name in the golden file. The name stays the same when the type is renamed.
type Form struct {
	Name string
	// Value is any value of the type. Check uses only its type, and fills a new value.
	Value any
	// WriteOnly is set for types that this program encodes but never decodes.
	WriteOnly bool
}

// Check fills a value of each type with distinct data, field by field in the order of declaration, and
// compares its JSON encoding with the golden file. For types that are not WriteOnly it also decodes the
// golden form and encodes it again, which must give the golden form.
func Check(t *testing.T, goldenFile string, forms ...Form) {
	t.Helper()
	encoded := make(map[string]json.RawMessage, len(forms))
	for _, form := range forms {
		raw, err := json.Marshal(Fill(form.Value))
		if err != nil {
			t.Fatalf("%s: encode: %v", form.Name, err)
		}
		encoded[form.Name] = raw
	}
	if os.Getenv(updateVariable) != "" {
		writeGolden(t, goldenFile, encoded)
		return
	}
	golden := readGolden(t, goldenFile)
	if len(golden) != len(forms) {
		t.Errorf("%s has %d forms, the test has %d", goldenFile, len(golden), len(forms))
	}
	for _, form := range forms {
		want := golden[form.Name]
		if !bytes.Equal(encoded[form.Name], want) {
			t.Errorf("%s: encoded form is\n%s\nwant\n%s", form.Name, encoded[form.Name], want)
		}
		if !form.WriteOnly {
			checkDecoding(t, form, want)
		}
	}
}

// checkDecoding checks that the golden form is the same after it is decoded and encoded again.
func checkDecoding(t *testing.T, form Form, golden json.RawMessage) {
	t.Helper()
	decoded := reflect.New(reflect.TypeOf(form.Value))
	if err := json.Unmarshal(golden, decoded.Interface()); err != nil {
		t.Errorf("%s: decode: %v", form.Name, err)
		return
	}
	reencoded, err := json.Marshal(decoded.Interface())
	if err != nil {
		t.Errorf("%s: encode again: %v", form.Name, err)
		return
	}
	if !bytes.Equal(reencoded, golden) {
		t.Errorf("%s: after decoding and encoding again, the form is\n%s\nwant\n%s", form.Name, reencoded, golden)
	}
}

func readGolden(t *testing.T, file string) map[string]json.RawMessage {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var golden map[string]json.RawMessage
	if err := json.Unmarshal(raw, &golden); err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	for name, value := range golden {
		var compact bytes.Buffer
		if err := json.Compact(&compact, value); err != nil {
			t.Fatalf("%s: %s: %v", file, name, err)
		}
		golden[name] = compact.Bytes()
	}
	return golden
}

func writeGolden(t *testing.T, file string, encoded map[string]json.RawMessage) {
	t.Helper()
	raw, err := json.MarshalIndent(encoded, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, append(raw, '\n'), 0o644); err != nil {
		t.Fatal(err)
	}
}

// Fill returns a value of the type of sample in which every exported field, at any depth, is set. All
// values but booleans are different from each other.
func Fill(sample any) any {
	value := reflect.New(reflect.TypeOf(sample)).Elem()
	f := filler{}
	f.fill(value)
	return value.Interface()
}

type filler struct{ lastNumber int }

func (f *filler) nextNumber() int {
	f.lastNumber++
	return f.lastNumber
}

func (f *filler) fill(v reflect.Value) {
	switch v.Interface().(type) {
	case json.RawMessage:
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, f.nextNumber()))
		return
	case time.Duration:
		v.SetInt(int64(f.nextNumber()) * int64(time.Second)) // a number of whole seconds is exact in every unit of encoding
		return
	case time.Time:
		v.Set(reflect.ValueOf(time.UnixMilli(int64(f.nextNumber())).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", f.nextNumber()))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.nextNumber()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.nextNumber()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.nextNumber()) + 0.5)
	case reflect.Interface:
		v.Set(reflect.ValueOf(fmt.Sprintf("any-%d", f.nextNumber())))
	default:
		f.fillComposite(v)
	}
}

func (f *filler) fillComposite(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i))
			}
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fill(v.Index(0))
		f.fill(v.Index(1))
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	default:
		panic(fmt.Sprintf("no data for %s", v.Type()))
	}
}
