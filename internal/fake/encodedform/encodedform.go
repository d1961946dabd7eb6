// Package encodedform compares the encoded form of records and messages with golden files. Stored
// records, messages between processes and answers to users and operators must keep the names and the
// sequence of their fields when the code is renamed or reorganised.
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

// updateVariable is the environment variable that makes Check write its golden file instead of
// comparing. It is for forms that are added, never for forms that have changed.
const updateVariable = "WRITE_ENCODED_FORMS"

// Form is a type with its name in the golden file. The name stays when the type is renamed.
type Form struct {
	Name string
	// Value is any value of the type; Check fills a new one.
	Value any
	// WriteOnly is set for types that are encoded but never decoded by this program.
	WriteOnly bool
}

// Check fills a value of each type with distinct data, field by field in the sequence of declaration,
// and compares its JSON with the golden file. Types that are not WriteOnly are also decoded from the
// golden form and encoded again, which must give the same.
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
		write(t, goldenFile, encoded)
		return
	}
	golden := read(t, goldenFile)
	if len(golden) != len(forms) {
		t.Errorf("%s: %d forms, the test has %d", goldenFile, len(golden), len(forms))
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

// checkDecoding decodes the golden form and encodes it again.
func checkDecoding(t *testing.T, form Form, golden json.RawMessage) {
	t.Helper()
	decoded := reflect.New(reflect.TypeOf(form.Value))
	if err := json.Unmarshal(golden, decoded.Interface()); err != nil {
		t.Errorf("%s: decode: %v", form.Name, err)
		return
	}
	again, err := json.Marshal(decoded.Interface())
	if err != nil {
		t.Errorf("%s: encode again: %v", form.Name, err)
		return
	}
	if !bytes.Equal(again, golden) {
		t.Errorf("%s: decoded and encoded again it is\n%s\nwant\n%s", form.Name, again, golden)
	}
}

func read(t *testing.T, file string) map[string]json.RawMessage {
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

func write(t *testing.T, file string, encoded map[string]json.RawMessage) {
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

// Fill makes a value of the same type in which every exported field, however deep, has data that
// differs from that of all others.
func Fill(sample any) any {
	value := reflect.New(reflect.TypeOf(sample)).Elem()
	f := filler{}
	f.fill(value)
	return value.Interface()
}

type filler struct{ next int }

func (f *filler) number() int {
	f.next++
	return f.next
}

func (f *filler) fill(v reflect.Value) {
	switch v.Interface().(type) {
	case json.RawMessage:
		v.SetBytes(fmt.Appendf(nil, `{"raw":%d}`, f.number()))
		return
	case time.Duration:
		v.SetInt(int64(f.number()) * int64(time.Second)) // whole seconds survive every unit
		return
	case time.Time:
		v.Set(reflect.ValueOf(time.UnixMilli(int64(f.number())).UTC()))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", f.number()))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.number()))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.number()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.number()) + 0.5)
	case reflect.Interface:
		v.Set(reflect.ValueOf(fmt.Sprintf("any-%d", f.number())))
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
