package pipelinerun

import "github.com/prometheus/client_golang/prometheus"

// leaderMetrics are the metrics of the leader.
type leaderMetrics struct {
	runs                prometheus.Gauge
	submissions, writes prometheus.Counter
	endedRuns           *prometheus.CounterVec
}

func newLeaderMetrics() *leaderMetrics {
	return &leaderMetrics{
		runs:        prometheus.NewGauge(prometheus.GaugeOpts{Name: "cherrywall_runs", Help: "Unfinished pipeline runs."}),
		submissions: prometheus.NewCounter(prometheus.CounterOpts{Name: "cherrywall_run_submissions_total", Help: "Jobs submitted for pipeline runs."}),
		writes:      prometheus.NewCounter(prometheus.CounterOpts{Name: "cherrywall_run_state_changes_total", Help: "Writes to the key-value store requested for pipeline runs."}),
		endedRuns:   prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cherrywall_runs_ended_total", Help: "Finished pipeline runs."}, []string{"status"}),
	}
}

// Collectors returns the metrics to be registered.
func (l *Leader) Collectors() []prometheus.Collector {
	return []prometheus.Collector{l.metrics.runs, l.metrics.submissions, l.metrics.writes, l.metrics.endedRuns}
}
