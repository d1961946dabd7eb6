package controller_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"cherrywall/internal/admin"
	"cherrywall/internal/controller"
	"cherrywall/internal/httpapi"
	"cherrywall/internal/workerapi"
)

// BenchmarkIdleHeartbeatOverHTTP measures heartbeats that report no changes, over HTTP and including the
// work of the client. The server delays its answers for a moment, so the benchmark keeps many requests in
// flight. The relevant result is therefore the processor time (cpu-ns/op), not the elapsed time.
func BenchmarkIdleHeartbeatOverHTTP(b *testing.B) {
	c, heartbeats := controller.NewBenchController(b, 1000, 100_000, 50)
	go c.Run()
	server := httptest.NewServer(httpapi.NewHandler(c, admin.NewMetrics()))
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: len(heartbeats)}}
	idleHeartbeats := make(chan *workerapi.Heartbeat, len(heartbeats))
	for _, heartbeat := range heartbeats {
		idleHeartbeats <- heartbeat
	}
	b.SetParallelism(len(heartbeats))
	b.ReportAllocs()
	processorTimeBefore := processorTimeNS(b)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			heartbeat := <-idleHeartbeats
			heartbeat.Sequence++
			raw, err := json.Marshal(heartbeat)
			if err != nil {
				b.Error(err)
				return
			}
			response, err := client.Post(server.URL+"/hello", "application/json", bytes.NewReader(raw))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				b.Error(response.Status)
			}
			idleHeartbeats <- heartbeat
		}
	})
	b.ReportMetric(float64(processorTimeNS(b)-processorTimeBefore)/float64(b.N), "cpu-ns/op")
}

// processorTimeNS returns the processor time that this process has used so far, in nanoseconds.
func processorTimeNS(b testing.TB) int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}

// BenchmarkPollOverHTTP measures polls of one job by many users, over HTTP and including the work of the
// client.
func BenchmarkPollOverHTTP(b *testing.B) {
	c, _ := controller.NewBenchController(b, 100, 100_000, 50)
	go c.Run()
	server := httptest.NewServer(httpapi.NewHandler(c, admin.NewMetrics()))
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.SetParallelism(64)
	b.ReportAllocs()
	processorTimeBefore := processorTimeNS(b)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			response, err := client.Get(server.URL + "/submissions/wk-1")
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
	b.ReportMetric(float64(processorTimeNS(b)-processorTimeBefore)/float64(b.N), "cpu-ns/op")
}
