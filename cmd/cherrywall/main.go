// Command cherrywall is a cluster scheduler's controller.
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

	"github.com/alecthomas/kong"
	"github.com/julienschmidt/httprouter"
	"github.com/willabides/kongplete"
)

// version is set at release builds with -ldflags "-X main.version=...".
var version = "dev"

type cli struct {
	Config    string `help:"Run the daemon with this settings file." placeholder:"FILE" type:"path"`
	Pipelines bool   `help:"Let the daemon run pipeline files."`
	Trace     string `help:"Write the spans of runs to this file." placeholder:"FILE" type:"path"`

	Run        runCmd                       `cmd:"" default:"withargs" hidden:"" help:"Run the daemon (needs --config)."`
	Demo       demoCmd                      `cmd:"" help:"Try it: stand-ins and three controllers on loopback run an example pipeline."`
	Submit     submitCmd                    `cmd:"" help:"Submit a job."`
	Watch      watchCmd                     `cmd:"" help:"Wait for jobs and tell how they go on."`
	Cancel     cancelCmd                    `cmd:"" help:"Cancel jobs."`
	Jobs       jobsCmd                      `cmd:"" help:"List the unfinished jobs."`
	Pipeline   pipelineCmd                  `cmd:"" help:"Check and run pipeline files."`
	Status     statusCmd                    `cmd:"" help:"Show what a controller sees."`
	Doctor     doctorCmd                    `cmd:"" help:"Tell what is wrong, and what a person must do; status 1 if anything."`
	Why        whyCmd                       `cmd:"" help:"Tell why a job waits."`
	Settings   settingsCmd                  `cmd:"" help:"Read or change the operators' settings."`
	Check      checkCmd                     `cmd:"" help:"Check a settings file and exit."`
	Completion kongplete.InstallCompletions `cmd:"" help:"Print what a shell needs to complete commands."`
	Version    versionCmd                   `cmd:"" help:"Print the version."`
}

type runCmd struct{}
type checkCmd struct {
	File string `arg:"" help:"The settings file." type:"path"`
}
type versionCmd struct{}

// The exit statuses; docs/pipelines.md and --help tell them.
const (
	exitFailed    = 1 // the command failed, or what it waited for did
	exitUsage     = 2 // wrong arguments, settings or pipeline file
	exitCancelled = 3 // what it waited for was cancelled
)

// exitError ends the command with a status and no more words.
type exitError struct{ code int }

func (e *exitError) Error() string { return fmt.Sprintf("exit status %d", e.code) }

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("cherrywall"),
		kong.Description("Cluster scheduler. 'cherrywall --config FILE' runs a controller."),
		kong.Exit(func(code int) {
			if code != 0 {
				code = exitUsage
			}
			os.Exit(code)
		}))
	kongplete.Complete(parser)
	kctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := kctx.Run(&c); err != nil {
		var bad *usageError
		var ended *exitError
		switch {
		case errors.As(err, &ended):
			os.Exit(ended.code)
		case errors.As(err, &bad):
			fmt.Fprintln(os.Stderr, "cherrywall:", err)
			os.Exit(exitUsage)
		}
		fmt.Fprintln(os.Stderr, "cherrywall:", err)
		os.Exit(1)
	}
}

type usageError struct{ error }

func (e *usageError) Unwrap() error { return e.error }

func (versionCmd) Run() error {
	fmt.Println("cherrywall", version)
	return nil
}

func (c checkCmd) Run() error {
	if _, err := config.Load(c.File); err != nil {
		return &usageError{err}
	}
	fmt.Println("ok")
	return nil
}

func (runCmd) Run(c *cli) error {
	if c.Config == "" {
		return &usageError{errors.New("--config FILE is needed to run; see --help")}
	}
	cfg, err := config.Load(c.Config)
	if err != nil {
		return &usageError{err}
	}
	given := os.Getenv("LOG_LEVEL")
	level := new(slog.LevelVar)
	if !setLevel(level, given) {
		return &usageError{fmt.Errorf("LOG_LEVEL: %q is not error, info or debug", given)}
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})).With("node", cfg.Node)
	shutdownRequested, stopSignals := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stopSignals()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	tracer := tracing.NewNoopTracer()
	if c.Trace != "" {
		file, err := os.OpenFile(c.Trace, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return &usageError{fmt.Errorf("trace: %w", err)}
		}
		defer file.Close()
		var end func(context.Context) error
		if tracer, end, err = tracing.NewTracer(file, cfg.Node); err != nil {
			return err
		}
		defer func() {
			if err := end(context.Background()); err != nil {
				log.Error("last spans not written", "error", err)
			}
		}()
	}
	// Told to end, it gives its shares away first; told so again, it ends at once.
	leave := func(ctrl *controller.Controller) {
		<-shutdownRequested.Done()
		stopSignals()
		ctrl.Leave()
		stop()
	}
	return serve(ctx, cfg, c.Pipelines, tracer, log, leave, func(v string) {
		if v == "" {
			v = given
		}
		setLevel(level, v)
	})
}

// setLevel sets a log level by its name; none is info.
func setLevel(level *slog.LevelVar, name string) bool {
	known := map[string]slog.Level{"": slog.LevelInfo, "info": slog.LevelInfo, "error": slog.LevelError, "debug": slog.LevelDebug}
	l, ok := known[name]
	if ok {
		level.Set(l)
	}
	return ok
}

func serve(ctx context.Context, cfg *config.Config, pipelines bool, tracer *tracing.Tracer, log *slog.Logger, leave func(*controller.Controller), setLevel func(string)) error {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(tuning.GCPercent)
	debug.SetMemoryLimit(int64(cfg.Cluster.Limits.MemMB * tuning.HeapLimitFraction * (1 << 20)))
	var mark [8]byte
	if _, err := rand.Read(mark[:]); err != nil {
		return fmt.Errorf("random mark: %w", err)
	}
	boot := binary.BigEndian.Uint64(mark[:]) >> 12 // below 2^53: exact in JSON

	dialer := &net.Dialer{Timeout: tuning.DialTimeout}
	limits := cfg.EffectiveStateLimits()
	client := kvstore.New(cfg.Endpoints.State, limits.RPS, limits.WriteRPS, len(cfg.Members()), dialer.DialContext)
	st := chunkedstore.New(client, boot, cfg.MaxValueBytes(), limits.TxnOps, log)
	cl := cloud.New(cfg.Endpoints.Cloud, cfg.Cluster.Cloud.RPS, dialer.DialContext)
	ctrl := controller.New(ctx, cfg, st, cl, workerapi.NewCommandClient(dialer.DialContext), boot, setLevel, log)
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	peerLn, err := net.Listen("tcp", cfg.PeerListen)
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	var others []string
	for _, o := range cfg.Peers {
		others = append(others, o.Node)
	}
	outbox := peer.NewOutbox(others...)
	ctrl.SetPeerSender(outbox.Enqueue)
	ctrl.OnFeatureGateOpen(st.EnableChunking)
	ctrl.Start()
	go st.RunGarbageCollector(ctx, ctrl.IsFirstLiveMember)
	go leave(ctrl)
	talk := peer.RateSharing{Controller: ctrl, Meter: client, Peers: map[string]bool{}}
	for _, o := range cfg.Peers {
		talk.Peers[o.Node] = true
	}
	go peer.Listen(ctx, peerLn, talk, log)
	for _, o := range cfg.Peers {
		go peer.SendHeartbeats(ctx, o.Addr, outbox[o.Node], talk)
	}
	go autoscaler.New(cfg.Node, boot, cfg, st, cl, ctrl, log).Run(ctx)
	metrics := admin.NewMetrics()
	more := []func(*httprouter.Router){func(r *httprouter.Router) {
		admin.RegisterRoutes(r, ctrl)
		metrics.RegisterRoutes(r, ctrl.Gauges)
	}}
	if pipelines {
		leader := pipelinerun.New(ctx, cfg, st, ctrl, tracer, log)
		leader.Start()
		metrics.AddCollectors(leader.Collectors()...)
		more = append(more, func(r *httprouter.Router) { httpapi.RegisterPipelines(r, leader, ctrl) })
	}
	srv := &http.Server{Handler: httpapi.NewHandler(ctrl, metrics, more...), ReadHeaderTimeout: tuning.ReadHeaderTimeout,
		IdleTimeout: tuning.UserConnectionIdleTimeout, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	go func() {
		<-ctx.Done()
		_ = srv.Close() // ends Serve; nothing waits for a clean end
	}()
	log.Info("serving", "listen", cfg.Listen, "zone", cfg.Zone, "version", version)
	if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}
