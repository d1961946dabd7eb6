//go:build review

package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Node is a controller process.
type Node struct {
	Name, Zone         string
	Listen, PeerListen string
	settings, log      string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended bool
}

// Deployment is a small deployment on loopback addresses.
type Deployment struct {
	Dir     string
	Log     *Recorder
	Cluster *Cluster
	Store   *Store
	Nodes   []*Node
	Extra   string // more lines for [cluster.state] and after it

	linkMu sync.Mutex
	linked map[string]bool // "from>to" that are cut
}

// Limits of the state service in the settings.
const stateSettings = "rps = 150.0\nwrite_rps = 50.0\nvalue_kb = 8.0\ntxn_ops = 40\n"

// NewDeployment makes the stand-ins and the settings of controllers in the given zones.
func NewDeployment(log *Recorder, dir string, t Timings, teams []Team, builds []Build, zones []string, allZones []string) *Deployment {
	d := &Deployment{Dir: dir, Log: log, Cluster: NewCluster(log, t, teams, builds), Store: NewStore(log), linked: map[string]bool{}}
	for i, z := range zones {
		d.Nodes = append(d.Nodes, &Node{Name: fmt.Sprintf("lantern-%d", i), Zone: z, Listen: freeAddr(), PeerListen: freeAddr()})
	}
	cloud := d.Cluster.ServeCloud()
	for _, n := range d.Nodes {
		d.Cluster.Nodes[n.Name] = n.Listen
		d.Cluster.NodeOrder = append(d.Cluster.NodeOrder, n.Name)
		var b strings.Builder
		fmt.Fprintf(&b, "node = %q\nzone = %q\nlisten = %q\npeer_listen = %q\n", n.Name, n.Zone, n.Listen, n.PeerListen)
		for _, o := range d.Nodes {
			if o != n {
				fmt.Fprintf(&b, "\n[[others]]\nnode = %q\nzone = %q\naddr = %q\n", o.Name, o.Zone, d.link(n.Name, o))
			}
		}
		fmt.Fprintf(&b, "\n[outside]\ncloud = %q\nstate = %q\n\n[cluster]\nnodes = %d\nzones = [", cloud, d.Store.Serve(n.Name), len(d.Nodes))
		for _, z := range allZones {
			fmt.Fprintf(&b, "%q, ", z)
		}
		b.WriteString("]\nclock_error_ms = 5.0\n")
		for _, team := range teams {
			fmt.Fprintf(&b, "\n[[cluster.teams]]\nname = %q\ncpus = 0.0\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", team.Name, team.CPUsMax)
		}
		fmt.Fprintf(&b, "\n[cluster.workers]\nreport_s = %.2f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f\n",
			t.ReportS, t.LeaseS, t.GangWaitS, t.GangPeerS, t.CancelS)
		fmt.Fprintf(&b, "\n[cluster.state]\n%s\n[cluster.cloud]\nrps = 3.0\nlist_lag_s = 8.0\n\n[cluster.limits]\ncores = 0.18\nmem_mb = 179.0\nmax_sockets = 1000\n", stateSettings)
		n.settings, n.log = filepath.Join(dir, n.Name+".toml"), filepath.Join(dir, n.Name+".log")
		if err := os.WriteFile(n.settings, []byte(b.String()), 0o600); err != nil {
			panic(err)
		}
	}
	return d
}

// FirstPort and PortCount are the ports from which the controllers' addresses are chosen.
var FirstPort, PortCount = 30100, 2500

// reserved are the ports that are kept until the controller is started.
var reserved = map[string]net.Listener{}

// freeAddr returns a free address below the ports that the system gives to clients, and keeps it.
func freeAddr() string {
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", FirstPort+rand.Intn(PortCount)))
		if err != nil {
			continue
		}
		reserved[l.Addr().String()] = l
		return l.Addr().String()
	}
}

// link serves a proxy from one controller to another and returns its address.
func (d *Deployment) link(from string, to *Node) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	key := from + ">" + to.Name
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go d.forward(key, conn, to.PeerListen)
		}
	}()
	return l.Addr().String()
}

func (d *Deployment) isCut(key string) bool {
	d.linkMu.Lock()
	defer d.linkMu.Unlock()
	return d.linked[key]
}

// forward passes bytes on; while the link is cut it holds them.
func (d *Deployment) forward(key string, conn net.Conn, addr string) {
	defer func() { _ = conn.Close() }()
	out, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	buf := make([]byte, 64<<10)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		for d.isCut(key) {
			time.Sleep(10 * time.Millisecond)
		}
		if _, err := out.Write(buf[:n]); err != nil {
			return
		}
	}
}

// CutPeers cuts the links of a controller with the others, or mends them.
func (d *Deployment) CutPeers(name string, on bool) {
	d.linkMu.Lock()
	defer d.linkMu.Unlock()
	for _, o := range d.Nodes {
		if o.Name != name {
			d.linked[name+">"+o.Name], d.linked[o.Name+">"+name] = on, on
		}
	}
}

// CutZone cuts a zone off from everything, or mends that: its controllers from the state service and
// from those of other zones, and its workers from the controllers of other zones. Inside, all goes on.
// Nothing inside uses the workers' own addresses in the meantime.
func (d *Deployment) CutZone(zone string, on bool) {
	for _, n := range d.Nodes {
		if n.Zone == zone {
			d.Store.Hang(n.Name, on)
			d.CutPeers(n.Name, on)
		} else {
			d.Cluster.Cut(n.Name, zone, on)
		}
	}
	d.Cluster.mu.Lock()
	defer d.Cluster.mu.Unlock()
	d.Cluster.unreachable[zone] = on
}

// Node returns a controller by its name.
func (d *Deployment) Node(name string) *Node {
	for _, n := range d.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// Start starts a controller with the command of the deploy file.
func (n *Node) Start(log *Recorder) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		return nil
	}
	for _, addr := range []string{n.Listen, n.PeerListen} {
		if l := reserved[addr]; l != nil {
			_ = l.Close()
			delete(reserved, addr)
		}
	}
	f, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/cherrywall", "--config", n.settings)
	cmd.Stderr, cmd.Stdout = f, f
	cmd.Env = append(os.Environ(), "LOG_LEVEL="+logLevel())
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = f.Close()
	n.cmd = cmd
	log.Printf("controller %s is started", n.Name)
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.cmd == cmd {
			n.cmd, n.ended = nil, true
			log.Printf("controller %s ended by itself: %v", n.Name, err)
		}
	}()
	return nil
}

func logLevel() string {
	if l := os.Getenv("LOG_LEVEL"); l != "" {
		return l
	}
	return "info"
}

// Running reports whether the process runs.
func (n *Node) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd != nil
}

// AnyEnded reports whether a controller has ended by itself.
func (d *Deployment) AnyEnded() bool {
	for _, n := range d.Nodes {
		n.mu.Lock()
		ended := n.ended
		n.mu.Unlock()
		if ended {
			return true
		}
	}
	return false
}

// Kill kills a controller.
func (n *Node) Kill(log *Recorder) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		log.Printf("controller %s is killed", n.Name)
		_ = n.cmd.Process.Kill()
		n.cmd = nil
	}
}

// Terminate asks a controller to leave, and kills it if it has not ended in time.
func (n *Node) Terminate(log *Recorder, timeout time.Duration) {
	n.mu.Lock()
	cmd := n.cmd
	n.cmd = nil
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	log.Printf("controller %s is told to end", n.Name)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cmd.Process.Signal(syscall.Signal(0)) != nil {
			return
		}
	}
	log.Printf("controller %s has not ended after %v", n.Name, timeout)
	_ = cmd.Process.Kill()
}

// Signal sends a signal to a controller.
func (n *Node) Signal(log *Recorder, sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		log.Printf("controller %s gets signal %v", n.Name, sig)
		_ = n.cmd.Process.Signal(sig)
	}
}

// StartAll starts all controllers and waits until they are healthy.
func (d *Deployment) StartAll(timeout time.Duration) error {
	for _, n := range d.Nodes { // one after the other: the map of reserved ports has no lock
		if err := n.Start(d.Log); err != nil {
			return err
		}
	}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		healthy := 0
		for _, n := range d.Nodes {
			if code, _ := d.Get(n.Name, "/healthz", time.Second); code == 200 {
				healthy++
			}
		}
		if healthy == len(d.Nodes) && !d.AnyEnded() {
			return nil
		}
	}
	if d.AnyEnded() {
		return fmt.Errorf("a controller ended; perhaps another program has taken its port")
	}
	return fmt.Errorf("the controllers are not healthy after %v", timeout)
}

// StopAll kills all controllers.
func (d *Deployment) StopAll() {
	for _, n := range d.Nodes {
		n.Kill(d.Log)
	}
}

var users = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Get sends a GET request to a controller; the code is 0 without an answer.
func (d *Deployment) Get(node, path string, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Node(node).Listen+path, nil)
	if err != nil {
		return 0, nil
	}
	resp, err := users.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, body
}

// Status is an answer to a user.
type Status struct {
	Code    int    `json:"-"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
	Error   string `json:"error"`
}

func status(code int, body []byte) Status {
	s := Status{Code: code}
	_ = json.Unmarshal(body, &s)
	return s
}

// Submit uploads and submits a job once.
func (d *Deployment) Submit(node string, j *Job) Status {
	d.Cluster.Upload(j)
	raw, _ := json.Marshal(j)
	s := status(post(users, "http://"+d.Node(node).Listen+"/submissions", raw, 5*time.Second))
	d.Log.Printf("user: submits %s at %s: %d %s %s", j.Ref, node, s.Code, s.Status, s.Error)
	return s
}

// SubmitUntil repeats a submission as users do, at one controller after the other.
func (d *Deployment) SubmitUntil(j *Job, timeout time.Duration) bool {
	for i, end := 0, time.Now().Add(timeout); time.Now().Before(end); i++ {
		if s := d.Submit(d.Nodes[i%len(d.Nodes)].Name, j); s.Code == 200 || s.Code == 201 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// Poll asks for a job.
func (d *Deployment) Poll(node, ref string) Status {
	return status(d.Get(node, "/submissions/"+ref, 2*time.Second))
}

// Withdraw cancels a job.
func (d *Deployment) Withdraw(node, ref string) Status {
	d.Cluster.AskCancel(ref)
	s := status(post(users, "http://"+d.Node(node).Listen+"/submissions/"+ref+"/withdraw", nil, 5*time.Second))
	if s.Code == 200 && s.Status == "aborted" {
		d.Cluster.Told(ref)
	}
	d.Log.Printf("user: withdraws %s at %s: %d %s %s", ref, node, s.Code, s.Status, s.Error)
	return s
}

// AppendLogs copies lines of the controllers' logs that contain one of the words into the record.
func (d *Deployment) AppendLogs(words ...string) {
	for _, n := range d.Nodes {
		raw, err := os.ReadFile(n.log)
		if err != nil {
			continue
		}
		for _, line := range bytes.Split(raw, []byte("\n")) {
			for _, word := range words {
				if bytes.Contains(line, []byte(word)) {
					d.Log.Printf("log of %s: %s", n.Name, line)
					break
				}
			}
		}
	}
}
