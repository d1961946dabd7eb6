package fake

import (
	"context"
	"log/slog"

	"cherrywall/internal/chunkedstore"
	"cherrywall/internal/config"
	"cherrywall/internal/controller"
	"cherrywall/internal/fake/memstore"
	"cherrywall/internal/peer"
	"cherrywall/internal/pipelinerun"
	"cherrywall/internal/tracing"
)

// incarnationOffset is added to the incarnations of controllers to tell them from the ids of leases,
// which come from the same sequence.
const incarnationOffset = 1000

// Node is a running controller.
type Node struct {
	Controller     *controller.Controller
	Conn           *memstore.Conn
	PipelineLeader *pipelinerun.Leader // nil without Cluster.RunPipelines
	stop           context.CancelFunc
}

// StartController starts a controller that does not run. Like a new process, it gets a new incarnation.
func (c *Cluster) StartController(name string) {
	cfg := c.controllerConfig(name)
	log := c.controllerLogger(name)
	ctx, stop := context.WithCancel(c.ctx)
	conn := c.Store.Connect(name)
	incarnation := c.Store.NextID() + incarnationOffset
	var service chunkedstore.Service = conn
	if c.WrapService != nil {
		service = c.WrapService(name, conn)
	}
	store := chunkedstore.New(service, incarnation, cfg.MaxValueBytes(), cfg.EffectiveStateLimits().TxnOps, log)
	ctl := controller.New(ctx, cfg, store, c, commandClient{c, name}, incarnation, func(string) {}, log)
	if c.ConnectPeers {
		c.connectPeers(ctx, name, ctl)
	}
	ctl.OnFeatureGateOpen(store.EnableChunking)
	ctl.Start()
	go store.RunGarbageCollector(ctx, ctl.IsFirstLiveMember)
	if !c.WithoutMachineTypes {
		ctl.SetMachineTypes(c.OfferedTypes)
	}
	var leader *pipelinerun.Leader
	if c.RunPipelines {
		leader = pipelinerun.New(ctx, cfg, store, ctl, tracing.NewNoopTracer(), log)
		leader.Start()
	}
	c.mu.Lock()
	c.Nodes[name] = &Node{Controller: ctl, Conn: conn, PipelineLeader: leader, stop: stop}
	c.mu.Unlock()
}

// controllerLogger returns the logger of a controller. Invariant violations that the controller logs are
// added to the cluster's violations.
func (c *Cluster) controllerLogger(name string) *slog.Logger {
	report := func(violation string) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.reportViolation("%s: %s", name, violation)
	}
	return slog.New(violationHandler{logger.Handler(), report}).With("node", name)
}

// controllerConfig returns a controller's copy of the settings.
func (c *Cluster) controllerConfig(name string) *config.Config {
	cfg := *c.Cfg
	cfg.Node = name
	cfg.Peers = nil
	for _, node := range c.Cfg.Peers {
		if node.Node == name {
			cfg.Zone = node.Zone
		} else {
			cfg.Peers = append(cfg.Peers, node)
		}
	}
	if c.AlterConfig != nil {
		c.AlterConfig(&cfg)
	}
	return &cfg
}

// connectPeers makes a controller send its heartbeats and transfers to its peers.
func (c *Cluster) connectPeers(ctx context.Context, name string, ctl *controller.Controller) {
	ctl.SetPeerSender(func(to string, chunks []*peer.TransferChunk) bool { //nolint:contextcheck // a controller handles messages in its own context
		if len(chunks) == 1 && chunks[0] == nil { // a nil chunk requests a heartbeat before the next one is due; controller.PeerSender defines this
			go func() {
				if heartbeat, ok := ctl.PeerHeartbeat(); ok {
					c.sendHeartbeatTo(name, to, heartbeat)
				}
			}()
			return true
		}
		go c.sendTransfer(name, to, chunks)
		return true
	})
	go c.sendPeerHeartbeats(ctx, name, ctl)
}

// CrashController ends a running controller without a graceful shutdown.
func (c *Cluster) CrashController(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Nodes[name].stop()
	delete(c.Nodes, name)
}

// StopController shuts a running controller down gracefully, and returns when it has ended.
func (c *Cluster) StopController(name string) {
	c.Nodes[name].Controller.Leave()
	c.CrashController(name)
}

// node returns a controller, or nil if it does not run.
func (c *Cluster) node(name string) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Nodes[name]
}
