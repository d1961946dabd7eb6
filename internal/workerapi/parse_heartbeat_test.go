package workerapi

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
)

const sampleHeartbeat = `{"host":"i-000231","addr":"10.1.0.232:9000","build":"g8","valley":"a","loaners":true,
	"watch":1,"tick":88,"baton":41,"recallS":7.5,"new":{"x":[1]},
	"shifts":[{"shift":"wk-000412/3","try":18446744073709551615,"status":"running","cause":null},
	          {"shift":"wk-000398/0","try":1,"status":"ended","cause":"stopped","kept":true}]}`

// ParseHeartbeat gives the same result as encoding/json.
func TestParseHeartbeatMatchesEncodingJSON(t *testing.T) {
	got, err := ParseHeartbeat([]byte(sampleHeartbeat))
	if err != nil {
		t.Fatal(err)
	}
	var want Heartbeat
	if err := json.Unmarshal([]byte(sampleHeartbeat), &want); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(*got, want) {
		t.Errorf("%+v, want %+v", *got, want)
	}
}

// The error for an invalid heartbeat names the invalid field.
func TestParseHeartbeatRefusesBadFields(t *testing.T) {
	for _, test := range []struct{ name, old, new, wantError string }{
		{"agent epoch is zero", `"watch":1`, `"watch":0`, "watch: missing"},
		{"agent epoch is negative", `"watch":1`, `"watch":-1`, "watch: wrong type"},
		{"agent epoch is fractional", `"watch":1`, `"watch":1.5`, "watch: wrong type"},
		{"sequence is a string", `"tick":88`, `"tick":"88"`, "tick: wrong type"},
		{"host contains a slash", `"host":"i-000231"`, `"host":"a/b"`, "host: bad character"},
		{"host is null", `"host":"i-000231"`, `"host":null`, "host: missing"},
		{"preemption notice is a list", `"recallS":7.5`, `"recallS":[]`, "recallS: wrong type"},
		{"attempt is a boolean", `"try":1,"status":"ended"`, `"try":true,"status":"ended"`, "shifts[1].try: wrong type"},
		{"task is empty", `"shift":"wk-000398/0"`, `"shift":""`, "shifts[1]: incomplete"},
		{"spot flag is a number", `"loaners":true`, `"loaners":1`, "loaners: wrong type"},
		{"task is no object", `"shifts":[{`, `"shifts":[3,{`, "shifts[0]: not an object"},
		{"tasks are an object", `"shifts":`, `"shifts":{},"other":`, "shifts: wrong type"},
		{"body is a list", `{"host"`, `[{"host"`, "body"},
	} {
		t.Run(test.name, func(t *testing.T) {
			body := strings.Replace(sampleHeartbeat, test.old, test.new, 1)
			_, err := ParseHeartbeat([]byte(body))
			if err == nil || !strings.HasPrefix(err.Error(), test.wantError) {
				t.Errorf("error %v, want %s", err, test.wantError)
			}
			var fieldErr *FieldError
			if !errors.As(err, &fieldErr) {
				t.Errorf("error %T, want a FieldError", err)
			}
		})
	}
}

// For any input, ParseHeartbeat returns an error or a heartbeat with all required fields.
func FuzzParseHeartbeat(f *testing.F) {
	f.Add([]byte(sampleHeartbeat))
	f.Add([]byte(`{"host":"i","build":"b","valley":"a","watch":1}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		heartbeat, err := ParseHeartbeat(body)
		if err == nil && (heartbeat.Host == "" || heartbeat.MachineType == "" || heartbeat.Zone == "" || heartbeat.AgentEpoch == 0) {
			t.Errorf("accepted: %+v", heartbeat)
		}
	})
}

func BenchmarkParseHeartbeat(b *testing.B) {
	body := []byte(sampleHeartbeat)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseHeartbeat(body); err != nil {
			b.Fatal(err)
		}
	}
}
