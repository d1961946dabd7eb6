package jobs

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// parts are the fields of a good submission.
func parts(t testing.TB) map[string]json.RawMessage {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(good), &fields); err != nil {
		t.Fatal(err)
	}
	return fields
}

func whole(t testing.TB, fields map[string]json.RawMessage) []byte {
	raw, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// Each field by itself missing, null, of a wrong type or impossible: the error names it, and the
// job is still known by its id, should it have been accepted before.
func TestEachFieldOfASubmissionIsChecked(t *testing.T) {
	number := []string{`-1`, `-0.001`, `"8"`, `"NaN"`, `true`, `[]`, `{}`, `1e999`, `-1e999`}
	text := []string{`""`, `1`, `true`, `[]`, `{}`}
	flag := []string{`1`, `0`, `"true"`, `"no"`, `[]`, `{}`}
	wrong := map[string][]string{
		"ref":       {`""`, `"wk"`, `"wk-"`, `"WK-1"`, `"wk-1/0"`, `" wk-1"`, `"wk-1234567890123456789"`, `1`, `true`, `[]`, `{}`},
		"lot":       text,
		"crew":      text,
		"kit":       text,
		"shape":     append([]string{`"party"`, `"Group"`, `"sweep "`}, text...),
		"urgency":   append([]string{`"urgent"`, `"HIGH"`}, text...),
		"shifts":    append([]string{`0`, `1.5`, `100001`, `18446744073709551616`}, number...),
		"vcpus":     number,
		"cards":     number,
		"ramGb":     number,
		"imageGb":   number,
		"guessS":    number,
		"waypointS": number,
		"stashS":    number,
		"oneZone":   flag,
		"spread":    flag,
		"loaners":   flag,
		"builds":    {`[]`, `[""]`, `["g8",null]`, `[1]`, `"g8"`, `{}`, `true`, `1`},
		"valley":    {`""`, `1`, `true`, `[]`, `{}`},
		"dueS":      {`0`, `-5`, `"900"`, `true`, `[]`, `1e999`},
		"awaits":    {`["x"]`, `["wk-000412"]`, `[1]`, `"wk-1"`, `{}`},
	}
	for _, name := range slices.Concat(requiredFields, optionalFields) {
		if len(wrong[name]) == 0 {
			t.Errorf("%s: nothing is tried", name)
		}
		if slices.Contains(requiredFields, name) {
			wrong[name] = append(wrong[name], `null`, ``)
		}
		for _, value := range wrong[name] {
			fields := parts(t)
			if fields[name] = json.RawMessage(value); value == "" {
				delete(fields, name)
			}
			raw := whole(t, fields)
			_, err := ParseSpec(raw)
			if err == nil || !strings.HasPrefix(err.Error(), name) {
				t.Errorf("%s: %s is answered %v", name, value, err)
			}
			if ref, ok := ParseRef(raw); ok != (name != "ref") || ok && ref != "wk-000412" {
				t.Errorf("%s: %s: known as %q", name, value, ref)
			}
		}
	}
	for _, name := range []string{"builds", "valley", "dueS", "awaits"} { // may be null, or missing
		fields := parts(t)
		fields[name] = json.RawMessage("null")
		if _, err := ParseSpec(whole(t, fields)); err != nil {
			t.Errorf("%s is null: %v", name, err)
		}
		delete(fields, name)
		if _, err := ParseSpec(whole(t, fields)); err != nil {
			t.Errorf("%s is missing: %v", name, err)
		}
	}
}

// What a receiver does not know it ignores, whatever it looks like.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	want, err := ParseSpec([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	for _, more := range []string{`"Shifts":"many"`, `"REF":"wk-9"`, `"x":null`, `"free":[{"f":0,"n":1}]`, `"VCPUS":-1`, `"own":{"share":"n0"}`} {
		raw := strings.Replace(good, "{", "{"+more+",", 1)
		tail := strings.TrimSuffix(good, "}") + "," + more + "}"
		for _, body := range []string{raw, tail} {
			if got, err := ParseSpec([]byte(body)); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("%s: %+v, %v", more, got, err)
			}
			if ref, ok := ParseRef([]byte(body)); !ok || ref != want.Ref {
				t.Errorf("%s: known as %q", more, ref)
			}
		}
	}
}

// Whatever comes: an error names a field or the body, and what is taken is taken the same again
// from its record.
func FuzzOddSubmissions(f *testing.F) {
	f.Add([]byte(good))
	for name := range maps.Keys(parts(f)) {
		fields := parts(f)
		fields[name] = json.RawMessage("null")
		f.Add(whole(f, fields))
	}
	f.Add([]byte(`{"ref":"wk-1","ref":2}`))
	names := append(slices.Concat(requiredFields, optionalFields), "body")
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := ParseSpec(body)
		if err != nil {
			field, _, _ := strings.Cut(err.Error(), ":")
			field, _, _ = strings.Cut(field, "[")
			if !slices.Contains(names, field) {
				t.Fatalf("%q names nothing", err)
			}
			return
		}
		raw, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		again, err := ParseSpec(raw)
		if err != nil || fmt.Sprintf("%+v", derefs(again)) != fmt.Sprintf("%+v", derefs(s)) {
			t.Fatalf("%s: %+v, then %+v, %v", body, s, again, err)
		}
		if ref, ok := ParseRef(body); !ok || ref != s.Ref {
			t.Fatalf("known as %q", ref)
		}
	})
}

// derefs is a submission without pointers, to be compared by its words.
func derefs(s *Spec) any {
	if s == nil {
		return nil
	}
	c := *s
	var zone string
	var due float64
	if c.Zone != nil {
		zone = *c.Zone
	}
	if c.DeadlineSeconds != nil {
		due = *c.DeadlineSeconds
	}
	c.Zone, c.DeadlineSeconds = nil, nil
	return []any{c, zone, due}
}
