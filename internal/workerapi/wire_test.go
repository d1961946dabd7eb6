package workerapi

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

const sampleHeartbeat = `{"host":"i-000231","addr":"10.1.0.232:9000","build":"g8","valley":"a","loaners":true,
	"watch":1,"tick":88,"baton":41,"recallS":7.5,"new":{"x":[1]},
	"shifts":[{"shift":"wk-000412/3","try":18446744073709551615,"status":"running","cause":null},
	          {"shift":"wk-000398/0","try":1,"status":"ended","cause":"stopped","kept":true}]}`

func TestAReportIsReadLikeAnyJSON(t *testing.T) {
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

func TestABadReportIsRefusedByTheNameOfItsField(t *testing.T) {
	for change, field := range map[string]string{
		`"watch":1 -> "watch":0`:                                  "watch: missing",
		`"watch":1 -> "watch":-1`:                                 "watch: wrong type",
		`"watch":1 -> "watch":1.5`:                                "watch: wrong type",
		`"tick":88 -> "tick":"88"`:                                "tick: wrong type",
		`"host":"i-000231" -> "host":"a/b"`:                       "host: bad character",
		`"host":"i-000231" -> "host":null`:                        "host: missing",
		`"recallS":7.5 -> "recallS":[]`:                           "recallS: wrong type",
		`"try":1,"status":"ended" -> "try":true,"status":"ended"`: "shifts[1].try: wrong type",
		`"shift":"wk-000398/0" -> "shift":""`:                     "shifts[1]: incomplete",
		`"loaners":true -> "loaners":1`:                           "loaners: wrong type",
		`"shifts":[{ -> "shifts":[3,{`:                            "shifts[0]: not an object",
		`"shifts": -> "shifts":{},"other":`:                       "shifts: wrong type",
		`{"host" -> [{"host"`:                                     "body",
	} {
		from, to, _ := strings.Cut(change, " -> ")
		_, err := ParseHeartbeat([]byte(strings.Replace(sampleHeartbeat, from, to, 1)))
		if err == nil || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("%s: %v, want %s", change, err, field)
		}
	}
}

// FuzzParseReport: whatever a network delivers, a report is refused or complete.
func FuzzParseReport(f *testing.F) {
	f.Add([]byte(sampleHeartbeat))
	f.Add([]byte(`{"host":"i","build":"b","valley":"a","watch":1}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		heartbeat, err := ParseHeartbeat(body)
		if err == nil && (heartbeat.Host == "" || heartbeat.MachineType == "" || heartbeat.Zone == "" || heartbeat.AgentEpoch == 0) {
			t.Errorf("taken: %+v", heartbeat)
		}
	})
}

func BenchmarkParseReport(b *testing.B) {
	raw := []byte(sampleHeartbeat)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseHeartbeat(raw); err != nil {
			b.Fatal(err)
		}
	}
}
