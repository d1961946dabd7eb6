package fake

import (
	"context"
	"net"
	"net/http"

	"cherrywall/internal/fake/httpjson"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

// serveWorker listens for the direct commands to a worker until ctx ends, and returns the address of the
// listener. The address is empty if the cluster's workers do not listen or there is no free port.
func (c *Cluster) serveWorker(ctx context.Context, host string) string {
	if !c.servesWorkers {
		return ""
	}
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "" // the worker reports no address: controllers cannot open connections to it
	}
	server := &http.Server{Handler: c.workerHandler(host), ReadHeaderTimeout: tuning.ReadHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().String()
}

// workerHandler serves the direct commands to a worker. For an unreachable worker it closes the connection
// without a response.
func (c *Cluster) workerHandler(host string) http.Handler {
	client := commandClient{cluster: c}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", func(rw http.ResponseWriter, r *http.Request) {
		var request workerapi.CommandRequest
		if !httpjson.Read(rw, r, &request) {
			return
		}
		heartbeat, isExecuted, err := client.Execute(r.Context(), host, request)
		switch {
		case err != nil:
			panic(http.ErrAbortHandler)
		case isExecuted:
			httpjson.Write(rw, http.StatusOK, heartbeat)
		default:
			httpjson.Write(rw, http.StatusConflict, heartbeat)
		}
	})
	mux.HandleFunc("GET /inspect", func(rw http.ResponseWriter, r *http.Request) {
		if c.IsFrozen(host) || client.Inspect(r.Context(), host) != nil {
			panic(http.ErrAbortHandler)
		}
		c.mu.Lock()
		worker := c.workers[host]
		c.mu.Unlock()
		if worker == nil {
			panic(http.ErrAbortHandler)
		}
		httpjson.Write(rw, http.StatusOK, worker.nextHeartbeat())
	})
	return mux
}

// nextHeartbeat returns the next heartbeat of the worker. It takes the cluster's lock.
func (w *Worker) nextHeartbeat() *workerapi.Heartbeat {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.Expire()
	return w.Heartbeat()
}
