package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
)

// processes are the controllers of a run. It is safe for concurrent use.
type processes struct {
	program  string
	dir      string
	settings map[string]string // settings file, by controller

	mu      sync.Mutex
	running map[string]*process // by controller
	starts  map[string]int      // by controller
	isEnded bool                // StopAll was called
	// onUnexpectedEnd is called when a controller ends that was not told to.
	onUnexpectedEnd func(node, log string, err error)
	tasks           chan func() // run on the thread that starts the processes
}

// process is a controller that was started.
type process struct {
	command      *exec.Cmd
	log          string
	ended        chan struct{}
	isEndAwaited bool // it was killed, or told to end
}

func newProcesses(program, dir string, settings map[string]string, onUnexpectedEnd func(node, log string, err error)) *processes {
	p := &processes{
		program:         program,
		dir:             dir,
		settings:        settings,
		running:         map[string]*process{},
		starts:          map[string]int{},
		tasks:           make(chan func()),
		onUnexpectedEnd: onUnexpectedEnd,
	}
	go p.runTasks()
	return p
}

// runTasks runs tasks on one thread for as long as the program runs: the kernel ends the controllers when
// the thread that has started them ends, so that none outlives this program.
func (p *processes) runTasks() {
	runtime.LockOSThread()
	for task := range p.tasks {
		task()
	}
}

// Start starts a controller that does not run.
func (p *processes) Start(node string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[node] != nil || p.isEnded {
		return nil
	}
	p.starts[node]++
	path := filepath.Join(p.dir, fmt.Sprintf("%s-%d.log", node, p.starts[node]))
	log, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("log: %w", err)
	}
	defer func() { _ = log.Close() }() // the process has a handle of its own
	command := exec.Command(p.program, "--config", p.settings[node])
	command.Stderr = log
	command.Env = append(os.Environ(), "GOMAXPROCS=2")
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	p.tasks <- func() { started <- command.Start() }
	if err := <-started; err != nil {
		return fmt.Errorf("controller %s: %w", node, err)
	}
	child := &process{command: command, log: path, ended: make(chan struct{})}
	p.running[node] = child
	go p.await(node, child)
	return nil
}

// await notes the end of a controller.
func (p *processes) await(node string, child *process) {
	err := child.command.Wait()
	p.mu.Lock()
	isUnexpected := !child.isEndAwaited
	if p.running[node] == child {
		delete(p.running, node)
	}
	p.mu.Unlock()
	close(child.ended)
	if isUnexpected {
		p.onUnexpectedEnd(node, child.log, err)
	}
}

// Signal sends a signal to a controller if it runs. Its end, if that follows, is not waited for.
func (p *processes) Signal(node string, signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if child := p.running[node]; child != nil {
		child.isEndAwaited = child.isEndAwaited || signal == syscall.SIGTERM
		_ = child.command.Process.Signal(signal)
	}
}

// Kill ends a controller if it runs, and waits for its end.
func (p *processes) Kill(node string) {
	p.mu.Lock()
	child := p.running[node]
	if child != nil {
		child.isEndAwaited = true
	}
	p.mu.Unlock()
	if child == nil {
		return
	}
	_ = child.command.Process.Signal(syscall.SIGCONT)
	_ = child.command.Process.Kill()
	<-child.ended
}

// IsRunning reports whether a controller runs.
func (p *processes) IsRunning(node string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running[node] != nil
}

// StopAll ends all controllers. None starts afterwards.
func (p *processes) StopAll() {
	p.mu.Lock()
	p.isEnded = true
	p.mu.Unlock()
	for node := range p.settings {
		p.Kill(node)
	}
}
