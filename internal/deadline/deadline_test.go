package deadline

import (
	"slices"
	"testing"
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
)

// sortedByStart returns the names of jobs, sorted by the times by which they should start.
func sortedByStart(records map[string]*jobs.JobRecord, objectives []config.Objective, now time.Time) []string {
	var names []string
	for name := range records {
		names = append(names, name)
	}
	startByMS := func(name string) int64 {
		record := records[name]
		return StartByMS(Job{
			Record:          record,
			RunnableSinceMS: record.AcceptedAtMS,
			RunSeconds:      record.EstimatedRunSeconds,
			Deadlines:       jobdag.OwnDeadlines(record, func(string) float64 { return 1 }),
		}, objectives, now)
	}
	slices.SortFunc(names, func(x, y string) int { return int(startByMS(x) - startByMS(y)) })
	return names
}

// When gangs were queued by arrival, all of them were late for minutes after a burst. Gangs with an
// objective at risk must go first, the shortest of them before the others, and no gang may starve.
func TestGangsAreOrderedByObjectivesAtRisk(t *testing.T) {
	now := time.Now()
	objectives := []config.Objective{
		{Kind: config.ObjectiveStarted, Class: "sync", WithinSeconds: 15},
		{Kind: config.ObjectiveFinished, Class: "sync", WithinSeconds: 200},
	}
	newGang := func(age time.Duration, runSeconds float64) *jobs.JobRecord {
		return &jobs.JobRecord{
			Spec:         jobs.Spec{Class: "sync", Kind: jobs.Gang, EstimatedRunSeconds: runSeconds},
			AcceptedAtMS: now.Add(-age).UnixMilli(),
		}
	}
	records := map[string]*jobs.JobRecord{
		"too late":      newGang(199*time.Second, 60),
		"not at risk":   newGang(30*time.Second, 60),
		"new and long":  newGang(2*time.Second, 120),
		"new and short": newGang(time.Second, 20),
		"at risk":       newGang(130*time.Second, 60),
		"aged":          newGang(6*time.Minute, 500),
	}
	for _, c := range []struct {
		name       string
		objectives []config.Objective
		want       []string
	}{
		{"by objectives", objectives, []string{"aged", "new and short", "at risk", "new and long", "not at risk", "too late"}},
		{"by arrival without objectives", nil, []string{"aged", "too late", "at risk", "not at risk", "new and long", "new and short"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := sortedByStart(records, c.objectives, now); !slices.Equal(got, c.want) {
				t.Errorf("order %v, want %v", got, c.want)
			}
		})
	}
}

func TestArraysAreOrderedByNextObjective(t *testing.T) {
	now := time.Now()
	objectives := []config.Objective{
		{Kind: config.ObjectiveStarted, Class: "scan", WithinSeconds: 1},
		{Kind: config.ObjectiveFinished, Class: "scan", WithinSeconds: 100},
		{Kind: config.ObjectiveFinished, Class: "scan", WithinSeconds: 200},
	}
	deadlineSeconds := 40.0
	newArray := func(age time.Duration, runSeconds float64, deadlineSeconds *float64) *jobs.JobRecord {
		return &jobs.JobRecord{
			Spec: jobs.Spec{Class: "scan", Kind: jobs.Array, EstimatedRunSeconds: runSeconds,
				DeadlineSeconds: deadlineSeconds},
			AcceptedAtMS: now.Add(-age).UnixMilli(),
		}
	}
	records := map[string]*jobs.JobRecord{
		"deadline":         newArray(0, 10, &deadlineSeconds),  // has to start within 30 s
		"first objective":  newArray(10*time.Second, 20, nil),  // has to start within 70 s
		"second objective": newArray(110*time.Second, 20, nil), // has to start within 70 s for the second objective: 200-20-110
		"late":             newArray(250*time.Second, 20, nil), // too late for all objectives: queued as if it had to start within 50 s
	}
	want := []string{"deadline", "late", "first objective", "second objective"}
	if got := sortedByStart(records, objectives, now); got[0] != want[0] || got[1] != want[1] {
		t.Errorf("order %v, want %v", got, want)
	}
}
