package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"cherrywall/internal/admin"
	"cherrywall/internal/autoscaler"
	"cherrywall/internal/chunkedstore"
	"cherrywall/internal/cloud"
	"cherrywall/internal/config"
	"cherrywall/internal/controller"
	"cherrywall/internal/httpapi"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/peer"
	"cherrywall/internal/pipelinerun"
	"cherrywall/internal/tracing"
	"cherrywall/internal/tuning"
	"cherrywall/internal/workerapi"

	"github.com/julienschmidt/httprouter"
)

// runCmd is the command that runs the daemon.
type runCmd struct{}

// Run runs the daemon until it receives SIGINT or SIGTERM. After the first signal it transfers its
// shards to other controllers before it ends; a second signal ends the process at once.
func (runCmd) Run(ctx context.Context, commandLine *cli) error {
	if commandLine.Config == "" {
		return &usageError{errors.New("--config FILE is required to run the daemon; see --help")}
	}
	cfg, err := config.Load(commandLine.Config)
	if err != nil {
		return &usageError{err}
	}
	initialLevel := os.Getenv("LOG_LEVEL")
	level := new(slog.LevelVar)
	if !setLevel(level, initialLevel) {
		return &usageError{fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", initialLevel)}
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("node", cfg.Node)
	signalCtx, stopSignals := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stopSignals()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	tracer, closeTracer, err := openTracer(ctx, commandLine.Trace, cfg.Node, log)
	if err != nil {
		return err
	}
	defer closeTracer()
	d := &daemon{
		cfg:           cfg,
		log:           log,
		tracer:        tracer,
		runsPipelines: commandLine.Pipelines,
		setLogLevel: func(name string) {
			if name == "" {
				name = initialLevel
			}
			setLevel(level, name)
		},
		awaitShutdown: func(ctrl *controller.Controller) {
			<-signalCtx.Done()
			stopSignals() // the next signal ends the process
			ctrl.Leave()  //nolint:contextcheck // the controller keeps the context of controller.New
			stop()
		},
	}
	return d.serve(ctx)
}

// setLevel sets level to the log level with the given name, or to info if the name is empty. It
// reports whether the name is known.
func setLevel(level *slog.LevelVar, name string) (ok bool) {
	levels := map[string]slog.Level{"": slog.LevelInfo, "info": slog.LevelInfo, "error": slog.LevelError, "debug": slog.LevelDebug}
	newLevel, ok := levels[name]
	if ok {
		level.Set(newLevel)
	}
	return ok
}

// openTracer returns a tracer that appends to a file, and a function that writes the last spans
// and closes the file. If fileName is empty, the tracer records nothing.
func openTracer(ctx context.Context, fileName, node string, log *slog.Logger) (tracer *tracing.Tracer, closeTracer func(), err error) {
	if fileName == "" {
		return tracing.NewNoopTracer(), func() {}, nil
	}
	file, err := os.OpenFile(fileName, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, &usageError{fmt.Errorf("trace: %w", err)}
	}
	tracer, flush, err := tracing.NewTracer(file, node)
	if err != nil {
		_ = file.Close() // the error is ignored, because nothing was written
		return nil, nil, err
	}
	return tracer, func() {
		if err := flush(context.WithoutCancel(ctx)); err != nil {
			log.Error("writing last spans failed", "error", err)
		}
		_ = file.Close() // the error is ignored, because writes to a file are not buffered
	}, nil
}

// daemon is a controller process.
type daemon struct {
	cfg           *config.Config
	log           *slog.Logger
	tracer        *tracing.Tracer
	runsPipelines bool         // whether this controller runs pipeline files
	setLogLevel   func(string) // its argument is the name of a level, or "" for the initial level
	// awaitShutdown waits for a signal, makes the controller leave the cluster and then stops the
	// daemon.
	awaitShutdown func(*controller.Controller)
}

// serve starts all components of the process and serves users and workers until ctx ends.
func (d *daemon) serve(ctx context.Context) error {
	d.limitResources()
	incarnation, err := newIncarnation()
	if err != nil {
		return err
	}
	dialer := &net.Dialer{Timeout: tuning.DialTimeout}
	limits := d.cfg.EffectiveStateLimits()
	client := kvstore.New(d.cfg.Endpoints.State, limits.RPS, limits.WriteRPS, len(d.cfg.Members()), dialer.DialContext)
	store := chunkedstore.New(client, incarnation, d.cfg.MaxValueBytes(), limits.TxnOps, d.log)
	provider := cloud.New(d.cfg.Endpoints.Cloud, d.cfg.Cluster.Cloud.RPS, dialer.DialContext)
	ctrl := controller.New(ctx, d.cfg, store, provider, workerapi.NewCommandClient(dialer.DialContext), incarnation, d.setLogLevel, d.log)
	listener, err := net.Listen("tcp", d.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	peerListener, err := net.Listen("tcp", d.cfg.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	outbox := peer.NewOutbox(d.peers()...)
	ctrl.SetPeerSender(outbox.Enqueue)
	ctrl.OnFeatureGateOpen(store.EnableChunking)
	ctrl.Start() //nolint:contextcheck // the controller keeps the context of controller.New
	go store.RunGarbageCollector(ctx, ctrl.IsFirstLiveMember)
	go d.awaitShutdown(ctrl)
	d.connectPeers(ctx, peerListener, outbox, peer.RateSharing{Controller: ctrl, Meter: client, Peers: map[string]bool{}})
	go autoscaler.New(d.cfg.Node, incarnation, d.cfg, store, provider, ctrl, d.log).Run(ctx)
	return d.serveHTTP(ctx, listener, d.handler(ctx, ctrl, store))
}

// limitResources configures the Go runtime for the CPU and memory limits of the deployment.
func (d *daemon) limitResources() {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(tuning.GCPercent)
	debug.SetMemoryLimit(int64(d.cfg.Cluster.Limits.MemMB * tuning.HeapLimitFraction * (1 << 20)))
}

// newIncarnation returns a random number that distinguishes this process from earlier ones of the node.
func newIncarnation() (uint64, error) {
	var random [8]byte
	if _, err := rand.Read(random[:]); err != nil {
		return 0, fmt.Errorf("generate incarnation: %w", err)
	}
	return binary.BigEndian.Uint64(random[:]) >> 12, nil // below 2^53, so that a JSON number represents it exactly
}

// peers returns the names of the other controllers.
func (d *daemon) peers() []string {
	var names []string
	for _, other := range d.cfg.Peers {
		names = append(names, other.Node)
	}
	return names
}

// connectPeers starts to receive heartbeats from the other controllers and to send heartbeats to them.
func (d *daemon) connectPeers(ctx context.Context, listener net.Listener, outbox peer.Outbox, sharing peer.RateSharing) {
	for _, other := range d.cfg.Peers {
		sharing.Peers[other.Node] = true
	}
	go peer.Serve(ctx, listener, sharing, d.log)
	for _, other := range d.cfg.Peers {
		go peer.SendHeartbeats(ctx, other.Addr, outbox[other.Node], sharing)
	}
}

// handler returns the HTTP handler of the listen address. If the daemon runs pipeline files, it also
// starts a pipelinerun.Leader, which manages the pipeline runs.
func (d *daemon) handler(ctx context.Context, ctrl *controller.Controller, store *chunkedstore.Store) http.Handler {
	metrics := admin.NewMetrics()
	addRoutes := []func(*httprouter.Router){func(router *httprouter.Router) {
		admin.RegisterRoutes(router, ctrl)
		metrics.RegisterRoutes(router, ctrl.Gauges)
	}}
	if d.runsPipelines {
		leader := pipelinerun.New(ctx, d.cfg, store, ctrl, d.tracer, d.log)
		leader.Start() //nolint:contextcheck // the leader keeps the context of pipelinerun.New
		metrics.AddCollectors(leader.Collectors()...)
		addRoutes = append(addRoutes, func(router *httprouter.Router) { httpapi.RegisterPipelines(router, leader, ctrl) })
	}
	return httpapi.NewHandler(ctrl, metrics, addRoutes...)
}

// serveHTTP serves the listen address until ctx ends.
func (d *daemon) serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: tuning.ReadHeaderTimeout,
		IdleTimeout: tuning.UserConnectionIdleTimeout, ErrorLog: slog.NewLogLogger(d.log.Handler(), slog.LevelDebug)}
	go func() {
		<-ctx.Done()
		_ = server.Close() // makes Serve return at once, because no request needs a graceful shutdown
	}()
	d.log.Info("serving", "listen", d.cfg.Listen, "zone", d.cfg.Zone, "version", version)
	if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
