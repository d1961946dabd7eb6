package admin

import (
	"net/http"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics are what is measured of a controller; no label names a job.
type Metrics struct {
	UserRequestSeconds *prometheus.HistogramVec
	WorkerHeartbeats   *prometheus.CounterVec
	registry           *prometheus.Registry
}

// NewMetrics makes them in a registry of their own.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		UserRequestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "cherrywall_user_request_seconds",
			Help:    "Time to answer users, by kind of request and status.",
			Buckets: []float64{.01, .025, .05, .1, .2, .5, 1, 2, 5}}, []string{"request", "status"}),
		WorkerHeartbeats: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cherrywall_worker_reports_total",
			Help: "Reports of workers, by the status they were answered with."}, []string{"status"}),
	}
	m.registry.MustRegister(m.UserRequestSeconds, m.WorkerHeartbeats)
	return m
}

// AddCollectors adds what another part measures.
func (m *Metrics) AddCollectors(more ...prometheus.Collector) { m.registry.MustRegister(more...) }

// RegisterRoutes adds /metrics, with gauges read from the views when asked for.
func (m *Metrics) RegisterRoutes(r *httprouter.Router, gauges func() map[string]float64) {
	m.registry.MustRegister(gaugeSet{gauges})
	h := promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
	r.GET("/metrics", func(w http.ResponseWriter, request *http.Request, _ httprouter.Params) { h.ServeHTTP(w, request) })
}

// gaugeSet turns a map into gauges at each reading.
type gaugeSet struct{ read func() map[string]float64 }

// Describe sends nothing: the set is unchecked.
func (gaugeSet) Describe(chan<- *prometheus.Desc) {}

// Collect reads the gauges.
func (g gaugeSet) Collect(out chan<- prometheus.Metric) {
	for name, v := range g.read() {
		out <- prometheus.MustNewConstMetric(prometheus.NewDesc("cherrywall_"+name, "See the operations guide.", nil, nil),
			prometheus.GaugeValue, v)
	}
}
