package jobs

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

const good = `{"ref":"wk-000412","lot":"train","crew":"vision","shape":"group","urgency":"high","shifts":16,
"vcpus":8.0,"cards":1.0,"ramGb":64.0,"kit":"img-07","imageGb":6.2,"builds":["g8"],"valley":null,"oneZone":true,
"spread":false,"loaners":true,"guessS":240.0,"waypointS":30.0,"stashS":4.0,"dueS":900.0}`

func TestBadSubmissionsNameTheField(t *testing.T) {
	if _, err := ParseSpec([]byte(good)); err != nil {
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
		_, err := ParseSpec([]byte(strings.Replace(good, c.from, c.to, 1)))
		if err == nil || !strings.HasPrefix(err.Error(), c.field) {
			t.Errorf("%s -> %s: %v", c.from, c.to, err)
		}
	}
}

// Property: taking and giving back in any order loses and doubles no task.
func TestSpansKeepEveryTask(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	free := []TaskInterval{{0, 500}}
	var held []TaskInterval
	for range 3000 {
		if len(free) > 0 && random.IntN(2) == 0 {
			var s TaskInterval
			s, free = TakeUnclaimed(free, 1+random.IntN(60))
			held = append(held, s)
		} else if len(held) > 0 {
			i := random.IntN(len(held))
			s := held[i]
			held = append(held[:i], held[i+1:]...)
			if k := random.IntN(s.Count); k > 0 { // only the tail goes back
				held = append(held, TaskInterval{s.First, k})
				s = TaskInterval{s.First + k, s.Count - k}
			}
			free = ReturnUnclaimed(free, s)
		}
		seen := make([]int, 500)
		for _, s := range append(append([]TaskInterval{}, free...), held...) {
			for i := s.First; i < s.First+s.Count; i++ {
				seen[i]++
			}
		}
		for i, n := range seen {
			if n != 1 {
				t.Fatalf("task %d is in %d places", i, n)
			}
		}
	}
}

// What a submission may name: nothing, or ids in the protocol's form, each counted once. Any
// other is refused with the field's name.
func TestAwaits(t *testing.T) {
	for awaits, want := range map[string]string{`null`: "[]", `[]`: "[]", `["wk-1"]`: "[wk-1]", `["wk-1","wk-2","wk-1"]`: "[wk-1 wk-2]",
		`[null]`: "", `["wk-1/2"]`: "", `{"a":1}`: "", `"wk-1"`: "", `[1]`: "", `["OWN"]`: ""} {
		awaits = strings.Replace(awaits, "OWN", refIn(good), 1)
		s, err := ParseSpec([]byte(strings.Replace(good, "{", `{"awaits":`+awaits+`,`, 1)))
		switch {
		case want == "" && (err == nil || !strings.Contains(err.Error(), "awaits")):
			t.Errorf("%s: %v", awaits, err)
		case want != "" && (err != nil || fmt.Sprint(s.DependsOn) != want):
			t.Errorf("%s: %v, %v", awaits, s.DependsOn, err)
		}
	}
}

// refIn is the id of a submission.
func refIn(body string) string {
	ref, _ := ParseRef([]byte(body))
	return ref
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(good))
	f.Add([]byte(`{"ref":1}`))
	for _, awaits := range []string{`["wk-1","wk-2","wk-1"]`, `[]`, `null`, `[null]`, `["wk-1/2"]`, `{"a":1}`, `"wk-1"`, `[["wk-1"]]`, `[1]`} {
		f.Add([]byte(strings.Replace(good, "{", `{"awaits":`+awaits+`,`, 1)))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		s, err := ParseSpec(body)
		if err == nil && (s.Tasks < 1 || s.Priority() < 0 || !ValidRef(s.Ref)) {
			t.Errorf("accepted %+v", s)
		}
		seen := map[string]bool{}
		for i := 0; err == nil && i < len(s.DependsOn); i++ {
			if ref := s.DependsOn[i]; !ValidRef(ref) || ref == s.Ref || seen[ref] {
				t.Errorf("accepted awaits %q of %s", s.DependsOn, s.Ref)
			}
			seen[s.DependsOn[i]] = true
		}
		ParseRef(body)
	})
}

// Records of an earlier program tell only the state, and packs only the ids.
func TestFinalStatesOfBothForms(t *testing.T) {
	for raw, want := range map[string]FinalState{`"done"`: {Done, 0}, `{"s":"aborted","n":7}`: {Cancelled, 7}} {
		var f FinalState
		if err := json.Unmarshal([]byte(raw), &f); err != nil || f != want {
			t.Errorf("%s: %+v, %v", raw, f, err)
		}
		again, err := json.Marshal(f)
		var g FinalState
		if err != nil || json.Unmarshal(again, &g) != nil || g != f {
			t.Errorf("%s written again: %s, %v", raw, again, err)
		}
	}
	if err := new(FinalState).UnmarshalJSON([]byte(`[]`)); err == nil {
		t.Error("a list was taken for a final state")
	}
	for name, want := range map[string]int{"wk-1": 0, BatchEntry("wk-1", 3): 3} {
		if ref, n := ParseBatchEntry(name); ref != "wk-1" || n != want {
			t.Errorf("%s: %s with %d tasks", name, ref, n)
		}
	}
}
