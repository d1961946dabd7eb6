//go:build review

package standin2

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"syscall"
	"time"
)

// caseTimeout ends a case that takes too long; it then could not run.
const caseTimeout = 118 * time.Second

// The exit statuses of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Node is a controller.
type Node struct {
	Name, Zone, Listen, Peer string
	settings                 string
	process                  *exec.Cmd
}

// Case is the run of one case.
type Case struct {
	*World
	Trouble bool
	dir     string
}

// Run runs a case from the root of the repository: it starts the platform and three controllers, calls play and
// exits with its result. folder gets the record.
func Run(folder string, settings Settings, play func(c *Case) int) {
	runtime.LockOSThread() // the controllers end with this thread
	os.Exit(run(folder, settings, play))
}

func run(folder string, settings Settings, play func(c *Case) int) (status int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return NotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	c := &Case{World: NewWorld(settings, record), Trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	defer c.stopAll()
	time.AfterFunc(caseTimeout, func() {
		c.Logf("the case took too long")
		c.stopAll()
		_ = os.RemoveAll(dir)
		os.Exit(NotRun)
	})
	if err := c.startPlatform(); err != nil {
		c.Logf("not run: %v", err)
		return NotRun
	}
	for i := range settings.Zones {
		if err := c.StartNode(i); err != nil {
			c.Logf("not run: %v", err)
			return NotRun
		}
	}
	if !c.waitHealthy(20 * time.Second) {
		c.Logf("not run: the controllers are not healthy")
		return NotRun
	}
	c.Logf("all controllers are healthy; trouble: %v", c.Trouble)
	status = play(c)
	c.Logf("result: %s", [...]string{"the rule held", "the rule was broken", "the case could not run"}[status])
	return status
}

// serve serves a handler on a free loopback port and returns the address.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// freeAddress returns a loopback address that is free at present.
func freeAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func (c *Case) startPlatform() error {
	cloud, err := serve(c.CloudHandler())
	if err != nil {
		return err
	}
	var nodes []Node
	for i, zone := range c.Settings.Zones {
		nodes = append(nodes, Node{Name: fmt.Sprintf("lantern-%d", i), Zone: zone, Listen: freeAddress(), Peer: freeAddress()})
	}
	for i := range nodes {
		nodes[i].settings = filepath.Join(c.dir, nodes[i].Name+".toml")
		state, err := serve(c.stateFor(nodes[i].Name))
		if err != nil {
			return err
		}
		if err := os.WriteFile(nodes[i].settings, []byte(c.settingsFile(nodes, i, state, cloud)), 0o600); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes = nodes
	return nil
}

func (c *Case) settingsFile(nodes []Node, self int, state, cloud string) string {
	var text strings.Builder
	s, n := c.Settings, nodes[self]
	fmt.Fprintf(&text, "node = %q\nzone = %q\nlisten = %q\npeer_listen = %q\n", n.Name, n.Zone, n.Listen, n.Peer)
	for i, other := range nodes {
		if i != self {
			fmt.Fprintf(&text, "\n[[others]]\nnode = %q\nzone = %q\naddr = %q\n", other.Name, other.Zone, other.Peer)
		}
	}
	zones := map[string]bool{}
	var names []string
	for _, zone := range s.Zones {
		if !zones[zone] {
			zones[zone] = true
			names = append(names, fmt.Sprintf("%q", zone))
		}
	}
	fmt.Fprintf(&text, "\n[outside]\ncloud = %q\nstate = %q\n\n[cluster]\nnodes = %d\nzones = [%s]\nclock_error_ms = 5.0\n", cloud, state, len(nodes), strings.Join(names, ", "))
	for _, team := range s.Teams {
		fmt.Fprintf(&text, "\n[[cluster.teams]]\nname = %q\ncpus = 0.0\ncpus_max = %.1f\ngpus = 0.0\ngpus_max = 0.0\n", team.Name, team.CPUsMax)
	}
	fmt.Fprintf(&text, "\n[cluster.workers]\nreport_s = %.1f\nlease_s = %.1f\ngang_wait_s = %.1f\ngang_peer_s = %.1f\ncancel_s = %.1f\n",
		s.ReportS, s.LeaseS, s.GangWaitS, s.GangPeerS, s.CancelS)
	fmt.Fprintf(&text, "\n[cluster.state]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n", s.State.RPS, s.State.WriteRPS, s.State.ValueKB, s.State.TxnOps)
	fmt.Fprintf(&text, "\n[cluster.cloud]\nrps = 3.0\nlist_lag_s = %.1f\n\n[cluster.limits]\ncores = 0.18\nmem_mb = 125.0\nmax_sockets = 1000\n", s.ListLagS)
	return text.String()
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// StartNode starts a controller by the run line of the deploy file.
func (c *Case) StartNode(i int) error {
	deploy, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return err
	}
	match := runLine.FindSubmatch(deploy)
	if match == nil {
		return errors.New("the deploy file has no run line")
	}
	args := append(strings.Fields(string(match[1])), c.nodes[i].settings)
	process := exec.Command(args[0], args[1:]...)
	log, err := os.OpenFile(filepath.Join(c.dir, c.nodes[i].Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process.Stderr = log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	c.nodes[i].process = process
	go func() { _ = process.Wait() }()
	return nil
}

// Signal sends a signal to a controller.
func (c *Case) Signal(i int, signal os.Signal) {
	c.Logf("%s gets the signal %v", c.nodes[i].Name, signal)
	_ = c.nodes[i].process.Process.Signal(signal)
}

// stopAll ends all controllers, and keeps their logs if REVIEW_LOGS names a folder.
func (c *Case) stopAll() {
	for _, n := range c.nodes {
		if n.process != nil {
			_ = n.process.Process.Signal(syscall.SIGCONT)
			_ = n.process.Process.Kill()
		}
		if folder := os.Getenv("REVIEW_LOGS"); folder != "" {
			if raw, err := os.ReadFile(filepath.Join(c.dir, n.Name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(folder, n.Name+".log"), raw, 0o600)
			}
		}
	}
}

func (c *Case) waitHealthy(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		healthy := 0
		for _, n := range c.nodes {
			if response, err := client.Get("http://" + n.Listen + "/healthz"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					healthy++
				}
			}
		}
		if healthy == len(c.nodes) {
			return true
		}
	}
	return false
}

// Answer is the answer to a user.
type Answer struct {
	Code   int
	Status string `json:"status"`
	Done   int    `json:"done"`
	Run    int    `json:"running"`
}

// ask sends a user's request to one controller.
func (c *Case) ask(node int, method, path string, body []byte, timeout time.Duration) Answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	n := c.nodes[node%len(c.nodes)]
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.Listen+path, bytes.NewReader(body))
	if err != nil {
		return Answer{}
	}
	request.Header.Set("Connection", "close")
	response, err := http.DefaultClient.Do(request)
	answer := Answer{}
	if err == nil {
		raw, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		_ = json.Unmarshal(raw, &answer)
		answer.Code = response.StatusCode
	}
	c.Logf("user: %s %s at %s: %d %s done %d running %d", method, path, n.Name, answer.Code, answer.Status, answer.Done, answer.Run)
	return answer
}

// Submit submits a job, by a node that the caller chooses first, and repeats that as a user does.
func (c *Case) Submit(node int, job Job) bool {
	c.RegisterJob(job)
	raw, _ := json.Marshal(job)
	c.Logf("user submits %s", raw)
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		switch answer := c.ask(node, http.MethodPost, "/submissions", raw, 5*time.Second); answer.Code {
		case http.StatusOK, http.StatusCreated:
			return true
		case http.StatusBadRequest, http.StatusUnprocessableEntity:
			return false
		}
		node++
	}
	return false
}

// Poll asks one controller about a job.
func (c *Case) Poll(node int, ref string) Answer {
	return c.ask(node, http.MethodGet, "/submissions/"+ref, nil, 2*time.Second)
}

// Withdraw cancels a job at one controller.
func (c *Case) Withdraw(node int, ref string) Answer {
	return c.ask(node, http.MethodPost, "/submissions/"+ref+"/withdraw", nil, 5*time.Second)
}

// Until waits until a condition holds, and reports whether it did within the limit.
func Until(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
