package admin

import (
	"net/http"
	"strings"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics are the metrics of a controller. No label contains a job reference, so the number of time
// series is bounded.
type Metrics struct {
	// UserRequestSeconds is the response time of user requests in seconds, by kind of request and status.
	UserRequestSeconds *prometheus.HistogramVec
	// WorkerHeartbeats counts the heartbeats of workers by the status of the response.
	WorkerHeartbeats *prometheus.CounterVec
	registry         *prometheus.Registry
}

// NewMetrics returns metrics with their own registry.
func NewMetrics() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		UserRequestSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "cherrywall_user_request_seconds",
			Help:    "Time to answer users, by kind of request and status.",
			Buckets: []float64{.01, .025, .05, .1, .2, .5, 1, 2, 5},
		}, []string{"request", "status"}),
		WorkerHeartbeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cherrywall_worker_reports_total",
			Help: "Heartbeats of workers, by the status of the answer.",
		}, []string{"status"}),
	}
	m.registry.MustRegister(m.UserRequestSeconds, m.WorkerHeartbeats)
	return m
}

// AddCollectors adds the metrics of another component. It panics if a metric is registered already.
func (m *Metrics) AddCollectors(collectors ...prometheus.Collector) {
	m.registry.MustRegister(collectors...)
}

// RegisterRoutes adds /metrics to a router. gauges is called for each request and returns further
// gauges by metric name, without the prefix "cherrywall_".
func (m *Metrics) RegisterRoutes(router *httprouter.Router, gauges func() map[string]float64) {
	m.registry.MustRegister(gaugeCollector{gauges})
	handler := promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
	router.GET("/metrics", func(w http.ResponseWriter, request *http.Request, _ httprouter.Params) {
		handler.ServeHTTP(w, request)
	})
}

// counterSuffix is the suffix of the names of values that never decrease, which are exported as counters.
const counterSuffix = "_total"

// gaugeCollector collects gauges whose names are not known before they are read.
type gaugeCollector struct{ readGauges func() map[string]float64 }

// Describe sends no descriptions, so that the registry does not check the collector's metrics.
func (gaugeCollector) Describe(chan<- *prometheus.Desc) {}

// Collect reads the gauges and sends them to metrics.
func (c gaugeCollector) Collect(metrics chan<- prometheus.Metric) {
	for name, value := range c.readGauges() {
		desc := prometheus.NewDesc("cherrywall_"+name, "See the operations guide.", nil, nil)
		valueType := prometheus.GaugeValue
		if strings.HasSuffix(name, counterSuffix) {
			valueType = prometheus.CounterValue
		}
		metrics <- prometheus.MustNewConstMetric(desc, valueType, value)
	}
}
