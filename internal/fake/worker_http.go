package fake

import (
	"context"
	"net"
	"net/http"

	"cherrywall/internal/fake/httpjson"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"
)

// serveWorker listens for the direct commands to a worker until ctx ends, and returns the address; empty
// if the cluster's workers do not listen.
func (c *Cluster) serveWorker(ctx context.Context, host string) string {
	if !c.servesWorkers {
		return ""
	}
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "" // the worker has no address, as if nobody could open a connection to it
	}
	server := &http.Server{Handler: c.workerHandler(host), ReadHeaderTimeout: tuning.ReadHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return listener.Addr().String()
}

// workerHandler serves the direct commands to a worker. A worker that can not be reached does not answer.
func (c *Cluster) workerHandler(host string) http.Handler {
	commands := commandClient{cluster: c}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /do", func(rw http.ResponseWriter, r *http.Request) {
		var request workerapi.CommandRequest
		if !httpjson.Read(rw, r, &request) {
			return
		}
		heartbeat, done, err := commands.Execute(r.Context(), host, request)
		switch {
		case err != nil:
			panic(http.ErrAbortHandler)
		case done:
			httpjson.Write(rw, http.StatusOK, heartbeat)
		default:
			httpjson.Write(rw, http.StatusConflict, heartbeat)
		}
	})
	mux.HandleFunc("GET /inspect", func(rw http.ResponseWriter, r *http.Request) {
		if c.IsFrozen(host) || commands.Inspect(r.Context(), host) != nil {
			panic(http.ErrAbortHandler)
		}
		c.mu.Lock()
		worker := c.workers[host]
		c.mu.Unlock()
		if worker == nil {
			panic(http.ErrAbortHandler)
		}
		httpjson.Write(rw, http.StatusOK, worker.lockedHeartbeat())
	})
	return mux
}

func (w *Worker) lockedHeartbeat() *workerapi.Heartbeat {
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	w.Expire()
	return w.Heartbeat()
}
