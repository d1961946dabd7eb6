package deadline

import (
	"slices"
	"testing"
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/jobdag"
	"cherrywall/internal/jobs"
)

func sortedByStart(recs map[string]*jobs.JobRecord, objectives []config.Objective, now time.Time) []string {
	var names []string
	for n := range recs {
		names = append(names, n)
	}
	by := func(n string) int64 {
		rec := recs[n]
		return StartByMS(Job{rec, rec.AcceptedAtMS, rec.EstimatedRunSeconds, 0, jobdag.OwnDeadlines(rec, func(string) float64 { return 1 })}, objectives, now)
	}
	slices.SortFunc(names, func(x, y string) int { return int(by(x) - by(y)) })
	return names
}

// By arrival everybody was late for minutes after a burst. What is at stake goes
// first, the shortest of it before the others; nobody waits for ever.
func TestGangsGoByWhatCanStillBeMet(t *testing.T) {
	now := time.Now()
	objectives := []config.Objective{{Kind: config.ObjectiveStarted, Class: "sync", WithinSeconds: 15}, {Kind: config.ObjectiveFinished, Class: "sync", WithinSeconds: 200}}
	gang := func(age time.Duration, estimate float64) *jobs.JobRecord {
		return &jobs.JobRecord{Spec: jobs.Spec{Class: "sync", Kind: jobs.Gang, EstimatedRunSeconds: estimate}, AcceptedAtMS: now.Add(-age).UnixMilli()}
	}
	queue := map[string]*jobs.JobRecord{
		"hopeless":    gang(199*time.Second, 60),
		"patient":     gang(30*time.Second, 60),
		"fresh-long":  gang(2*time.Second, 120),
		"fresh-short": gang(time.Second, 20),
		"last-moment": gang(130*time.Second, 60),
		"forgotten":   gang(6*time.Minute, 500),
	}
	want := []string{"forgotten", "fresh-short", "last-moment", "fresh-long", "patient", "hopeless"}
	if got := sortedByStart(queue, objectives, now); !slices.Equal(got, want) {
		t.Error(got, "want", want)
	}
	want = []string{"forgotten", "hopeless", "last-moment", "patient", "fresh-long", "fresh-short"}
	if got := sortedByStart(queue, nil, now); !slices.Equal(got, want) {
		t.Error("without aims:", got, "want the order of arrival", want)
	}
}

func TestArraysGoByTheirNextAim(t *testing.T) {
	now := time.Now()
	objectives := []config.Objective{{Kind: config.ObjectiveStarted, Class: "scan", WithinSeconds: 1}, {Kind: config.ObjectiveFinished, Class: "scan", WithinSeconds: 100},
		{Kind: config.ObjectiveFinished, Class: "scan", WithinSeconds: 200}}
	due := 40.0
	array := func(age time.Duration, runs float64, due *float64) *jobs.JobRecord {
		return &jobs.JobRecord{Spec: jobs.Spec{Class: "scan", Kind: jobs.Array, EstimatedRunSeconds: runs, DeadlineSeconds: due}, AcceptedAtMS: now.Add(-age).UnixMilli()}
	}
	queue := map[string]*jobs.JobRecord{
		"deadline":  array(0, 10, &due),              // by 30 s
		"first aim": array(10*time.Second, 20, nil),  // by 70 s
		"second":    array(110*time.Second, 20, nil), // by 70 s of the second: 200-20-110
		"late":      array(250*time.Second, 20, nil), // for all: 50 s from now
	}
	want := []string{"deadline", "late", "first aim", "second"}
	if got := sortedByStart(queue, objectives, now); got[0] != want[0] || got[1] != want[1] {
		t.Error(got, "want", want)
	}
}
