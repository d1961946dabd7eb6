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

// Quiet reports from the socket to the answer, the client's part included. An
// answer is held for a moment, so many are asked for at the same time, and what
// counts is the processor time (cpu-ns/op), not the time that passes.
func BenchmarkIdleHeartbeatOverHTTP(b *testing.B) {
	c, all := controller.NewBenchController(b, 1000, 100_000, 50)
	go c.Run()
	srv := httptest.NewServer(httpapi.NewHandler(c, admin.NewMetrics()))
	defer srv.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: len(all)}}
	free := make(chan *workerapi.Heartbeat, len(all))
	for _, r := range all {
		free <- r
	}
	b.SetParallelism(len(all))
	b.ReportAllocs()
	before := processorTimeNS(b)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r := <-free
			r.Sequence++
			raw, err := json.Marshal(r)
			if err != nil {
				b.Error(err)
				return
			}
			resp, err := client.Post(srv.URL+"/hello", "application/json", bytes.NewReader(raw))
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Error(resp.Status)
			}
			free <- r
		}
	})
	b.ReportMetric(float64(processorTimeNS(b)-before)/float64(b.N), "cpu-ns/op")
}

// processorTimeNS is the processor time that this process has used.
func processorTimeNS(b testing.TB) int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return u.Utime.Nano() + u.Stime.Nano()
}

// Polls of a storm, from the socket to the answer, the client's part included.
func BenchmarkPollOverHTTP(b *testing.B) {
	c, _ := controller.NewBenchController(b, 100, 100_000, 50)
	go c.Run()
	srv := httptest.NewServer(httpapi.NewHandler(c, admin.NewMetrics()))
	defer srv.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.SetParallelism(64)
	b.ReportAllocs()
	before := processorTimeNS(b)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp, err := client.Get(srv.URL + "/submissions/wk-1")
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
	b.ReportMetric(float64(processorTimeNS(b)-before)/float64(b.N), "cpu-ns/op")
}
