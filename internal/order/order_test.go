package order

import (
	"slices"
	"testing"
	"time"

	"cherrywall/internal/config"
	"cherrywall/internal/depend"
	"cherrywall/internal/jobs"
)

func ordered(recs map[string]*jobs.Record, aims []config.Objective, now time.Time) []string {
	var names []string
	for n := range recs {
		names = append(names, n)
	}
	by := func(n string) int64 {
		rec := recs[n]
		return StartBy(Job{rec, rec.AcceptedMS, rec.EstimateS, 0, depend.Due(rec, func(string) float64 { return 1 })}, aims, now)
	}
	slices.SortFunc(names, func(x, y string) int { return int(by(x) - by(y)) })
	return names
}

// By arrival everybody was late for minutes after a burst. What is at stake goes
// first, the shortest of it before the others; nobody waits for ever.
func TestGangsGoByWhatCanStillBeMet(t *testing.T) {
	now := time.Now()
	aims := []config.Objective{{Kind: config.Wait, Class: "sync", WithinS: 15}, {Kind: config.Finished, Class: "sync", WithinS: 200}}
	gang := func(age time.Duration, estimate float64) *jobs.Record {
		return &jobs.Record{Spec: jobs.Spec{Class: "sync", Kind: jobs.Gang, EstimateS: estimate}, AcceptedMS: now.Add(-age).UnixMilli()}
	}
	queue := map[string]*jobs.Record{
		"hopeless":    gang(199*time.Second, 60),
		"patient":     gang(30*time.Second, 60),
		"fresh-long":  gang(2*time.Second, 120),
		"fresh-short": gang(time.Second, 20),
		"last-moment": gang(130*time.Second, 60),
		"forgotten":   gang(6*time.Minute, 500),
	}
	want := []string{"forgotten", "fresh-short", "last-moment", "fresh-long", "patient", "hopeless"}
	if got := ordered(queue, aims, now); !slices.Equal(got, want) {
		t.Error(got, "want", want)
	}
	want = []string{"forgotten", "hopeless", "last-moment", "patient", "fresh-long", "fresh-short"}
	if got := ordered(queue, nil, now); !slices.Equal(got, want) {
		t.Error("without aims:", got, "want the order of arrival", want)
	}
}

func TestArraysGoByTheirNextAim(t *testing.T) {
	now := time.Now()
	aims := []config.Objective{{Kind: config.Wait, Class: "scan", WithinS: 1}, {Kind: config.Finished, Class: "scan", WithinS: 100},
		{Kind: config.Finished, Class: "scan", WithinS: 200}}
	due := 40.0
	array := func(age time.Duration, runs float64, due *float64) *jobs.Record {
		return &jobs.Record{Spec: jobs.Spec{Class: "scan", Kind: jobs.Array, EstimateS: runs, DueS: due}, AcceptedMS: now.Add(-age).UnixMilli()}
	}
	queue := map[string]*jobs.Record{
		"deadline":  array(0, 10, &due),              // by 30 s
		"first aim": array(10*time.Second, 20, nil),  // by 70 s
		"second":    array(110*time.Second, 20, nil), // by 70 s of the second: 200-20-110
		"late":      array(250*time.Second, 20, nil), // for all: 50 s from now
	}
	want := []string{"deadline", "late", "first aim", "second"}
	if got := ordered(queue, aims, now); got[0] != want[0] || got[1] != want[1] {
		t.Error(got, "want", want)
	}
}
