// Package pipelinerun executes runs of pipeline files: it submits their jobs to the controller when
// the dependencies allow it, stores their progress in durable records, and answers users' requests.
// Each run belongs to a shard, its home shard. The controller that owns this shard leads the run:
// only this controller advances it. Any controller accepts requests.
package pipelinerun

import (
	"context"
	"log/slog"
	"time"

	"cherrywall/internal/actor"
	"cherrywall/internal/config"
	"cherrywall/internal/controller"
	"cherrywall/internal/jobs"
	"cherrywall/internal/kvstore"
	"cherrywall/internal/tracing"
	"cherrywall/internal/tuning"

	lru "github.com/hashicorp/golang-lru/v2"
)

// Store contains the operations of the key-value store that the leader uses.
type Store interface {
	Commit(ctx context.Context, priority kvstore.Priority, txn kvstore.Txn) (kvstore.TxnResult, error)
	Get(ctx context.Context, priority kvstore.Priority, key string) (kvstore.GetResult, error)
	List(ctx context.Context, prefix string) ([]kvstore.KeyValue, uint64, error)
}

// Controller is the controller of this process. It receives the jobs of the runs, and delivers the
// changes of the run records. Its methods may block until the controller's actor has answered.
type Controller interface {
	// Subscribe makes the controller pass the changes of records below jobs.OpaquePrefix to notify.
	// needsReload is set if some changes were missed, so that all records have to be listed again.
	// notify must not block for long.
	Subscribe(notify func(events []kvstore.Event, needsReload bool))
	// SubmitIf submits a job under a precondition.
	SubmitIf(spec *jobs.Spec, precondition kvstore.Condition, reply chan<- controller.Response)
	// Poll asks for the status of a job.
	Poll(ref string, reply chan controller.Response)
	// Cancel cancels a job.
	Cancel(ref string, reply chan controller.Response)
	// LocalState returns the shards owned by this controller, and the cached states of the given
	// jobs. ok is false if the controller has shut down.
	LocalState(refs []string) (state controller.LocalState, ok bool)
}

// Leader is the actor that leads the runs whose home shards this controller owns, and answers
// requests for all runs. Exported methods may be called from any goroutine; the state is read and
// written only on the actor's goroutine.
type Leader struct {
	mailbox    *actor.Mailbox
	cfg        *config.Config
	store      Store
	controller Controller
	tracer     *tracing.Tracer
	log        *slog.Logger
	metrics    *leaderMetrics

	inbox              inbox
	isSynced           bool            // set once all records have been listed for the first time
	isLoading          bool            // set while a listing is in flight
	reloadRequestCount int             // how often events were missed; if the count changes during a listing, the listing is obsolete
	pendingEvents      []kvstore.Event // received, but not applied yet

	runs           map[string]*runState          // unfinished, by id
	resourceGroups map[string]resourceGroup      // by key
	schedules      map[string]*scheduleState     // by key
	finalRuns      *lru.Cache[string, runRecord] // final records of finished runs, by id
	callsInFlight  map[string]bool               // submissions, cancellations and polls, by job id
}

// New returns a leader that works from the call of Start until ctx ends.
func New(ctx context.Context, cfg *config.Config, store Store, controller Controller, tracer *tracing.Tracer, log *slog.Logger) *Leader {
	finalRuns, err := lru.New[string, runRecord](tuning.MaxCachedEndedRuns)
	if err != nil {
		panic(err) // lru.New fails only for a size below 1
	}
	return &Leader{
		mailbox:        actor.New(ctx),
		cfg:            cfg,
		store:          store,
		controller:     controller,
		tracer:         tracer,
		log:            log,
		metrics:        newLeaderMetrics(),
		inbox:          newInbox(),
		runs:           map[string]*runState{},
		resourceGroups: map[string]resourceGroup{},
		schedules:      map[string]*scheduleState{},
		finalRuns:      finalRuns,
		callsInFlight:  map[string]bool{},
	}
}

// Start starts the leader's goroutine and subscribes to the controller's events. It is called once.
func (l *Leader) Start() {
	go l.run()
	l.controller.Subscribe(l.inbox.put)
}

func (l *Leader) run() {
	ticker := time.NewTicker(tuning.RunTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.mailbox.Context().Done():
			return
		case message := <-l.mailbox.Messages():
			message()
		case <-l.inbox.eventSignal:
			l.handleEvents(l.inbox.take())
		case <-ticker.C:
			l.tick(time.Now())
		}
	}
}

// tick starts the runs of due schedules, and advances every run that this controller leads.
func (l *Leader) tick(now time.Time) {
	if !l.isSynced || len(l.runs)+len(l.schedules) == 0 {
		return
	}
	var refs []string
	for _, run := range l.runs {
		refs = append(refs, run.activeRefs()...)
	}
	local, ok := l.controller.LocalState(refs)
	if !ok || !local.Synced {
		return
	}
	l.startDueSchedules(local, now)
	for _, run := range l.runs {
		l.leadRun(run, local, now)
	}
	l.metrics.runs.Set(float64(len(l.runs)))
}
