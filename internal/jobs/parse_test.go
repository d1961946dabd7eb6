package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
)

const validSubmission = `{"ref":"wk-000412","lot":"train","crew":"vision","shape":"group","urgency":"high","shifts":16,
"vcpus":8.0,"cards":1.0,"ramGb":64.0,"kit":"img-07","imageGb":6.2,"builds":["g8"],"valley":null,"oneZone":true,
"spread":false,"loaners":true,"guessS":240.0,"waypointS":30.0,"stashS":4.0,"dueS":900.0}`

// submissionFields returns the fields of validSubmission by name.
func submissionFields(t testing.TB) map[string]json.RawMessage {
	t.Helper()
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(validSubmission), &fields); err != nil {
		t.Fatal(err)
	}
	return fields
}

func encodeFields(t testing.TB, fields map[string]json.RawMessage) []byte {
	t.Helper()
	raw, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// prependField returns a submission with one more field before its first field.
func prependField(submission, field string) string {
	return strings.Replace(submission, "{", "{"+field+",", 1)
}

func TestErrorNamesInvalidSubmissionField(t *testing.T) {
	if _, err := ParseSpec([]byte(validSubmission)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, field string }{
		{`"shifts":16`, `"shifts":0`, "shifts"}, {`"shifts":16`, `"shifts":"16"`, "shifts"},
		{`"shifts":16`, `"shifts":1.5`, "shifts"}, {`"shifts":16`, `"shifts":100001`, "shifts"},
		{`"vcpus":8.0`, `"vcpus":-1`, "vcpus"}, {`"vcpus":8.0,`, ``, "vcpus"},
		{`"vcpus":8.0`, `"vcpus":1e999`, "vcpus"}, {`"group"`, `"party"`, "shape"},
		{`"high"`, `"extreme"`, "urgency"}, {`"wk-000412"`, `"wk 1"`, "ref"},
		{`"oneZone":true`, `"oneZone":1`, "oneZone"}, {`"dueS":900.0`, `"dueS":0`, "dueS"},
		{`["g8"]`, `[]`, "builds"}, {`{"ref"`, `[{"ref"`, "body"},
	} {
		_, err := ParseSpec([]byte(strings.Replace(validSubmission, c.from, c.to, 1)))
		if err == nil || !strings.HasPrefix(err.Error(), c.field) {
			t.Errorf("%s -> %s: %v", c.from, c.to, err)
		}
		var validationError *ValidationError
		if !errors.As(err, &validationError) || validationError.Field != c.field {
			t.Errorf("%s -> %s: field of %#v, want %s", c.from, c.to, err, c.field)
		}
	}
}

// invalidValues returns, by field, the values that must be rejected. An empty string stands for a
// missing field.
func invalidValues() map[string][]string {
	invalidNumbers := []string{`-1`, `-0.001`, `"8"`, `"NaN"`, `true`, `[]`, `{}`, `1e999`, `-1e999`}
	invalidTexts := []string{`""`, `1`, `true`, `[]`, `{}`}
	invalidFlags := []string{`1`, `0`, `"true"`, `"no"`, `[]`, `{}`}
	values := map[string][]string{
		"ref":       {`""`, `"wk"`, `"wk-"`, `"WK-1"`, `"wk-1/0"`, `" wk-1"`, `"wk-1234567890123456789"`, `1`, `true`, `[]`, `{}`},
		"lot":       invalidTexts,
		"crew":      invalidTexts,
		"kit":       invalidTexts,
		"shape":     append([]string{`"party"`, `"Group"`, `"sweep "`}, invalidTexts...),
		"urgency":   append([]string{`"urgent"`, `"HIGH"`}, invalidTexts...),
		"shifts":    append([]string{`0`, `1.5`, `100001`, `18446744073709551616`}, invalidNumbers...),
		"vcpus":     invalidNumbers,
		"cards":     invalidNumbers,
		"ramGb":     invalidNumbers,
		"imageGb":   invalidNumbers,
		"guessS":    invalidNumbers,
		"waypointS": invalidNumbers,
		"stashS":    invalidNumbers,
		"oneZone":   invalidFlags,
		"spread":    invalidFlags,
		"loaners":   invalidFlags,
		"builds":    {`[]`, `[""]`, `["g8",null]`, `[1]`, `"g8"`, `{}`, `true`, `1`},
		"valley":    {`""`, `1`, `true`, `[]`, `{}`},
		"dueS":      {`0`, `-5`, `"900"`, `true`, `[]`, `1e999`},
		"awaits":    {`["x"]`, `["wk-000412"]`, `[1]`, `"wk-1"`, `{}`},
	}
	for _, name := range requiredFields {
		values[name] = append(slices.Clone(values[name]), `null`, ``)
	}
	return values
}

// If one field is missing, null, of a wrong type or out of range, the error names that field. ParseRef
// still returns the reference, unless the reference is the invalid field, since the job may have been
// accepted before.
func TestEachSubmissionFieldIsValidated(t *testing.T) {
	values := invalidValues()
	for _, name := range slices.Concat(requiredFields, optionalFields) {
		count := len(values[name])
		if slices.Contains(requiredFields, name) {
			count -= 2 // null and a missing field are invalid for every required field
		}
		if count <= 0 {
			t.Errorf("%s: no invalid values to test", name)
		}
		for _, value := range values[name] {
			expectValidationError(t, name, value)
		}
	}
}

// expectValidationError checks the error for a submission in which one field has an invalid value.
func expectValidationError(t *testing.T, name, value string) {
	t.Helper()
	fields := submissionFields(t)
	if fields[name] = json.RawMessage(value); value == "" {
		delete(fields, name)
	}
	raw := encodeFields(t, fields)
	_, err := ParseSpec(raw)
	if err == nil || !strings.HasPrefix(err.Error(), name) {
		t.Errorf("%s: %s: error %v", name, value, err)
	}
	if ref, ok := ParseRef(raw); ok != (name != "ref") || ok && ref != "wk-000412" {
		t.Errorf("%s: %s: reference %q", name, value, ref)
	}
}

func TestOptionalSubmissionFieldsMayBeNullOrMissing(t *testing.T) {
	for _, name := range []string{"builds", "valley", "dueS", "awaits"} {
		fields := submissionFields(t)
		fields[name] = json.RawMessage("null")
		if _, err := ParseSpec(encodeFields(t, fields)); err != nil {
			t.Errorf("%s is null: %v", name, err)
		}
		delete(fields, name)
		if _, err := ParseSpec(encodeFields(t, fields)); err != nil {
			t.Errorf("%s is missing: %v", name, err)
		}
	}
}

func TestUnknownSubmissionFieldsAreIgnored(t *testing.T) {
	want, err := ParseSpec([]byte(validSubmission))
	if err != nil {
		t.Fatal(err)
	}
	for _, field := range []string{`"Shifts":"many"`, `"REF":"wk-9"`, `"x":null`, `"free":[{"f":0,"n":1}]`, `"VCPUS":-1`, `"own":{"share":"n0"}`} {
		bodyWithFieldAtEnd := strings.TrimSuffix(validSubmission, "}") + "," + field + "}"
		for _, body := range []string{prependField(validSubmission, field), bodyWithFieldAtEnd} {
			if got, err := ParseSpec([]byte(body)); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("%s: %+v, %v", field, got, err)
			}
			if ref, ok := ParseRef([]byte(body)); !ok || ref != want.Ref {
				t.Errorf("%s: reference %q", field, ref)
			}
		}
	}
}

// The dependencies of a submission may be missing, empty or a list of valid job references. Duplicates
// are removed. For any other value the error names the field.
func TestDependenciesAreValidatedAndDeduplicated(t *testing.T) {
	for awaits, want := range map[string]string{`null`: "[]", `[]`: "[]", `["wk-1"]`: "[wk-1]", `["wk-1","wk-2","wk-1"]`: "[wk-1 wk-2]",
		`[null]`: "", `["wk-1/2"]`: "", `{"a":1}`: "", `"wk-1"`: "", `[1]`: "", `["OWN"]`: ""} {
		ownRef, _ := ParseRef([]byte(validSubmission))
		awaits = strings.Replace(awaits, "OWN", ownRef, 1)
		spec, err := ParseSpec([]byte(prependField(validSubmission, `"awaits":`+awaits)))
		switch {
		case want == "" && (err == nil || !strings.Contains(err.Error(), "awaits")):
			t.Errorf("%s: %v", awaits, err)
		case want != "" && (err != nil || fmt.Sprint(spec.DependsOn) != want):
			t.Errorf("%s: %v, %v", awaits, spec.DependsOn, err)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSubmission))
	f.Add([]byte(`{"ref":1}`))
	for _, awaits := range []string{`["wk-1","wk-2","wk-1"]`, `[]`, `null`, `[null]`, `["wk-1/2"]`, `{"a":1}`, `"wk-1"`, `[["wk-1"]]`, `[1]`} {
		f.Add([]byte(prependField(validSubmission, `"awaits":`+awaits)))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		spec, err := ParseSpec(body)
		if err == nil && (spec.Tasks < 1 || spec.Priority() < 0 || !ValidRef(spec.Ref)) {
			t.Errorf("accepted %+v", spec)
		}
		seen := map[string]bool{}
		for i := 0; err == nil && i < len(spec.DependsOn); i++ {
			ref := spec.DependsOn[i]
			if !ValidRef(ref) || ref == spec.Ref || seen[ref] {
				t.Errorf("accepted dependencies %q of %s", spec.DependsOn, spec.Ref)
			}
			seen[ref] = true
		}
		ParseRef(body)
	})
}

// For any body, an error names a field or the body as a whole, and an accepted submission is
// unchanged after it is encoded and decoded.
func FuzzParseRoundTrip(f *testing.F) {
	f.Add([]byte(validSubmission))
	for name := range maps.Keys(submissionFields(f)) {
		fields := submissionFields(f)
		fields[name] = json.RawMessage("null")
		f.Add(encodeFields(f, fields))
	}
	f.Add([]byte(`{"ref":"wk-1","ref":2}`))
	names := append(slices.Concat(requiredFields, optionalFields), "body")
	f.Fuzz(func(t *testing.T, body []byte) {
		spec, err := ParseSpec(body)
		if err != nil {
			field, _, _ := strings.Cut(err.Error(), ":")
			field, _, _ = strings.Cut(field, "[")
			if !slices.Contains(names, field) {
				t.Fatalf("error %q does not begin with the name of a field", err)
			}
			return
		}
		raw, err := json.Marshal(spec)
		if err != nil {
			t.Fatal(err)
		}
		redecoded, err := ParseSpec(raw)
		if err != nil || fmt.Sprintf("%+v", dereferencedSpec(redecoded)) != fmt.Sprintf("%+v", dereferencedSpec(spec)) {
			t.Fatalf("%s: decoded %+v, after encoding and decoding %+v, error %v", body, spec, redecoded, err)
		}
		if ref, ok := ParseRef(body); !ok || ref != spec.Ref {
			t.Fatalf("reference %q", ref)
		}
	})
}

// dereferencedSpec returns a submission with its pointers replaced by the values, so that fmt prints
// equal submissions alike.
func dereferencedSpec(spec *Spec) any {
	if spec == nil {
		return nil
	}
	specCopy := *spec
	var zone string
	var deadline float64
	if spec.Zone != nil {
		zone = *spec.Zone
	}
	if spec.DeadlineSeconds != nil {
		deadline = *spec.DeadlineSeconds
	}
	specCopy.Zone, specCopy.DeadlineSeconds = nil, nil
	return []any{specCopy, zone, deadline}
}

// Operators read the decoding errors of damaged records and of the files that they submit, so these
// errors must name the JSON type, not the Go type Kind.
func TestDecodeErrorDescribesKindAsString(t *testing.T) {
	var record JobRecord
	err := DescribeDecodeError(json.Unmarshal([]byte(`{"shape":7}`), &record))
	if want := "json: cannot unmarshal number into Go struct field JobRecord.Spec.shape of type string"; err == nil || err.Error() != want {
		t.Errorf("error is %v, want %s", err, want)
	}
	if err := DescribeDecodeError(json.Unmarshal([]byte(`{"shape":"group"}`), &record)); err != nil {
		t.Error(err)
	}
}
