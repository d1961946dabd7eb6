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

// processes manages the controller processes of a run. It is safe for concurrent use.
type processes struct {
	program  string            // path of the executable
	dir      string            // folder of the log files
	settings map[string]string // path of the settings file, by controller

	mu          sync.Mutex
	running     map[string]*process // by controller
	startCounts map[string]int      // number of starts, by controller
	isStopped   bool                // StopAll was called; no process is started any more
	// onUnexpectedExit is called when a controller exits although it was neither killed nor told to exit.
	onUnexpectedExit func(node, logPath string, err error)
	startCalls       chan func() // calls that start a process; runStartCalls executes them
}

// process is a running or exited controller process.
type process struct {
	command        *exec.Cmd
	logPath        string
	exitSignal     chan struct{} // closed when the process has exited
	isExitExpected bool          // the process was killed or told to exit
}

func newProcesses(program, dir string, settings map[string]string, onUnexpectedExit func(node, logPath string, err error)) *processes {
	p := &processes{
		program:          program,
		dir:              dir,
		settings:         settings,
		running:          map[string]*process{},
		startCounts:      map[string]int{},
		startCalls:       make(chan func()),
		onUnexpectedExit: onUnexpectedExit,
	}
	go p.runStartCalls()
	return p
}

// runStartCalls starts the processes on one locked OS thread that lives as long as this program. Because of
// Pdeathsig, the kernel kills a controller when the thread that started the controller ends, so that no
// controller outlives this program.
func (p *processes) runStartCalls() {
	runtime.LockOSThread()
	for startProcess := range p.startCalls {
		startProcess()
	}
}

// Start starts a controller. It does nothing if the controller is running or StopAll was called.
func (p *processes) Start(node string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[node] != nil || p.isStopped {
		return nil
	}
	p.startCounts[node]++
	path := filepath.Join(p.dir, fmt.Sprintf("%s-%d.log", node, p.startCounts[node]))
	logFile, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create log file: %w", err)
	}
	defer func() { _ = logFile.Close() }() // the process has its own handle
	command := exec.Command(p.program, "--config", p.settings[node])
	command.Stderr = logFile
	command.Env = append(os.Environ(), "GOMAXPROCS=2")
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	startResult := make(chan error)
	p.startCalls <- func() { startResult <- command.Start() }
	if err := <-startResult; err != nil {
		return fmt.Errorf("controller %s: %w", node, err)
	}
	child := &process{command: command, logPath: path, exitSignal: make(chan struct{})}
	p.running[node] = child
	go p.waitForExit(node, child)
	return nil
}

// waitForExit waits until a controller has exited, and calls onUnexpectedExit if its exit was not expected.
func (p *processes) waitForExit(node string, child *process) {
	err := child.command.Wait()
	p.mu.Lock()
	isUnexpected := !child.isExitExpected
	if p.running[node] == child {
		delete(p.running, node)
	}
	p.mu.Unlock()
	close(child.exitSignal)
	if isUnexpected {
		p.onUnexpectedExit(node, child.logPath, err)
	}
}

// Signal sends a signal to a controller if it is running. It does not wait for the controller to exit.
func (p *processes) Signal(node string, signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if child := p.running[node]; child != nil {
		child.isExitExpected = child.isExitExpected || signal == syscall.SIGTERM
		_ = child.command.Process.Signal(signal)
	}
}

// Kill kills a controller if it is running or suspended by SIGSTOP, and waits until it has exited.
func (p *processes) Kill(node string) {
	p.mu.Lock()
	child := p.running[node]
	if child != nil {
		child.isExitExpected = true
	}
	p.mu.Unlock()
	if child == nil {
		return
	}
	_ = child.command.Process.Signal(syscall.SIGCONT)
	_ = child.command.Process.Kill()
	<-child.exitSignal
}

// IsRunning reports whether a controller is running.
func (p *processes) IsRunning(node string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running[node] != nil
}

// StopAll kills all controllers and waits until they have exited. Start does nothing afterwards.
func (p *processes) StopAll() {
	p.mu.Lock()
	p.isStopped = true
	p.mu.Unlock()
	for node := range p.settings {
		p.Kill(node)
	}
}
