package world

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/link"
)

const (
	// stopGrace is grace_s: how long a process has to end after SIGTERM.
	stopGrace = 6 * time.Second
	// restartDelay is the time until a process that has ended by itself is started again.
	restartDelay = 300 * time.Millisecond
	readyTimeout = 15 * time.Second
	// readyTimeoutEach is how much longer the start may take for each process.
	readyTimeoutEach = 300 * time.Millisecond
	zones            = 3
)

// Node is a process of the project.
type Node struct {
	w                  *World
	name, zone, ip     string
	front, ready, file string
	firstPort          int
	// clients and store are the links to the process and from it to the store.
	clients, store *link.Link
	// refused means that the store refuses the calls of the process.
	refused atomic.Bool
	// lifecycle is held while the process is stopped and started.
	lifecycle sync.Mutex

	mu  sync.Mutex
	run *process
}

// process is an incarnation of a node.
type process struct {
	cmd *exec.Cmd
	// requested means that the end is caused from outside.
	requested atomic.Bool
	ended     chan struct{}
}

// Name returns the name of the process.
func (n *Node) Name() string { return n.name }

// Zone returns the zone of the process.
func (n *Node) Zone() string { return n.zone }

// Front returns the address for clients, without a link.
func (n *Node) Front() string { return n.front }

// ReadyAddress returns the address for readiness checks.
func (n *Node) ReadyAddress() string { return n.ready }

// PeerAddress returns the address for other processes.
func (n *Node) PeerAddress() string { return fmt.Sprintf("%s:%d", n.ip, n.firstPort+2) }

// CommandAddress returns the address for commands of leaders.
func (n *Node) CommandAddress() string { return fmt.Sprintf("%s:%d", n.ip, n.firstPort+3) }

// metricsPort is the default port of the metrics. Each process has an address of its own.
const metricsPort = 9464

// MetricsAddress returns the address for metrics.
func (n *Node) MetricsAddress() string { return fmt.Sprintf("%s:%d", n.ip, metricsPort) }

// PID returns the ID of the operating system for the present incarnation of the process.
func (n *Node) PID() int { return n.current().cmd.Process.Pid }

// Clients returns the link between clients and the process.
func (n *Node) Clients() *link.Link { return n.clients }

// StoreLink returns the link between the process and the store.
func (n *Node) StoreLink() *link.Link { return n.store }

// SetRefused makes the store refuse the calls of the process, or ends that.
func (n *Node) SetRefused(refused bool) { n.refused.Store(refused) }

// neededPorts is the number of ports of a process: for clients, readiness, and two for other processes.
const neededPorts = 4

// freePorts returns the first of neededPorts free ports in a row.
func freePorts(ip string) (first int, err error) {
	for first = 8340; first < 9400; first += neededPorts {
		var listeners []net.Listener
		for i := range neededPorts {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, first+i))
			if err != nil {
				break
			}
			listeners = append(listeners, listener)
		}
		for _, l := range listeners {
			_ = l.Close()
		}
		if len(listeners) == neededPorts {
			return first, nil
		}
	}
	return 0, errors.New("there are no free ports")
}

// StartNodes starts the processes in three zones, and waits until they are ready.
func (w *World) StartNodes() error {
	cloudAddress, err := w.serve(w.cloud.handler())
	if err != nil {
		return err
	}
	for i := range max(zones, w.options.Nodes) {
		ip := w.nextIP()
		port, err := freePorts(ip)
		if err != nil {
			return err
		}
		n := &Node{w: w, name: fmt.Sprintf("front-z%d-%d", i%zones+1, i/zones+1), zone: fmt.Sprintf("z%d", i%zones+1), ip: ip, firstPort: port, front: fmt.Sprintf("%s:%d", ip, port), ready: fmt.Sprintf("%s:%d", ip, port+1)}
		n.file = filepath.Join(w.dir, n.name+".toml")
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		address, err := w.serveView(n)
		if err != nil {
			return err
		}
		if n.clients, err = link.Listen(w.anyPort(linkHost), n.front); err != nil {
			return err
		}
		if n.store, err = link.Listen(w.anyPort(linkHost), address); err != nil {
			return err
		}
		settings := fmt.Sprintf(settingsFormat, n.name, n.ip, n.zone, n.firstPort+2, n.firstPort+3, n.front, n.ready, w.options.MemoryMB, w.options.Descriptors, n.store.Address(), cloudAddress)
		if err := os.WriteFile(n.file, []byte(settings), 0o600); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	return w.waitReady()
}

const settingsFormat = `node = %q
role = "entry"
class = "front"
serves = ["front"]
ip = %q
zone = %q
region = "r"
port_range = [%d,%d]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
orders = "rpc"
[zones]
z1 = "r"
z2 = "r"
z3 = "r"
[listen]
front = %q
ready = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = %d
max_fds = %d
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_ms = 2000
max_stretch_ms = 5000
max_hold_ms = 10000
stop_timeout_ms = 900
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
require_fence = false
lease_ms = 3000
[platform]
addr = %q
form = "table"
writes_per_s = 600
reads_per_s = 2000
[cloud]
addr = %q
rate_per_s = 64.0
duty_per_s = 64.0
`

// ChangeSettings changes the settings file and sends SIGHUP.
func (n *Node) ChangeSettings(writesPerSecond int) error {
	settings, err := os.ReadFile(n.file)
	if err != nil {
		return err
	}
	lines := bytes.Split(settings, []byte("\n"))
	for i, line := range lines {
		if bytes.HasPrefix(line, []byte("writes_per_s")) {
			lines[i] = fmt.Appendf(nil, "writes_per_s = %d", writesPerSecond)
		}
	}
	if err := os.WriteFile(n.file, bytes.Join(lines, []byte("\n")), 0o600); err != nil {
		return err
	}
	n.w.Record("process %s gets SIGHUP", n.name)
	return n.current().signal(syscall.SIGHUP)
}

func (n *Node) start() error {
	log, err := os.OpenFile(n.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(n.w.options.Program, "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHIVETILLER_BOOT=" + n.file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	n.mu.Lock()
	n.run = p
	n.mu.Unlock()
	n.w.history.ProcessStarted(n.name)
	n.w.Record("process %s is started", n.name)
	go n.watch(p)
	return log.Close()
}

// watch waits for the end of a process, and starts it again if it has ended by itself.
func (n *Node) watch(p *process) {
	err := p.cmd.Wait()
	n.w.history.ProcessEnded(n.name)
	n.w.Record("process %s has ended: %v", n.name, err)
	close(p.ended)
	if p.requested.Load() {
		return
	}
	n.w.ownEnds.Add(1)
	n.w.Record("process %s has ended by itself", n.name)
	time.Sleep(restartDelay)
	if err := n.Start(); err != nil {
		n.w.Record("process %s cannot be started: %v", n.name, err)
	}
}

func (n *Node) current() *process {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.run
}

// Start starts the process unless it runs.
func (n *Node) Start() error {
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	select {
	case <-n.current().ended:
		if n.w.closed.Load() {
			return nil
		}
		return n.start()
	default:
		return nil
	}
}

// Restart stops the process gracefully and starts it again once it has ended.
func (n *Node) Restart() error {
	n.end(syscall.SIGTERM)
	return n.Start()
}

// Kill ends the process with SIGKILL.
func (n *Node) Kill() { n.end(syscall.SIGKILL) }

// end sends a signal that ends the process, and SIGKILL after the grace period.
func (n *Node) end(s syscall.Signal) {
	n.lifecycle.Lock()
	defer n.lifecycle.Unlock()
	p := n.current()
	if p == nil {
		return
	}
	p.requested.Store(true)
	n.w.Record("process %s gets %s", n.name, s)
	if s == syscall.SIGTERM {
		n.w.history.ProcessStopRequested(n.name)
	}
	// Signals fail only if the process has ended.
	_ = p.cmd.Process.Signal(s)
	select {
	case <-p.ended:
		return
	case <-time.After(stopGrace):
	}
	n.w.Record("process %s is killed %s later", n.name, stopGrace)
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// signal sends a signal to the process, unless it has ended.
func (p *process) signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// Pause makes the process stand still for a time.
func (n *Node) Pause(d time.Duration) error {
	p := n.current()
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	select {
	case <-time.After(d):
	case <-p.ended:
	}
	return p.signal(syscall.SIGCONT)
}

// Ready reports whether the process says that it is ready.
func (n *Node) Ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (w *World) waitReady() error {
	for deadline := time.Now().Add(readyTimeout + time.Duration(len(w.nodes))*readyTimeoutEach); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if n.Ready() {
				ready++
			}
		}
		if ready == len(w.nodes) && w.Leader() != nil {
			return nil
		}
	}
	return fmt.Errorf("the processes are not ready; their logs are in %s", w.dir)
}

// Leader returns the process that last wrote the row of the leader. Only signals depend on it.
func (w *World) Leader() *Node {
	row := w.store.get(keyLeader)
	for _, n := range w.nodes {
		if n.isNamedIn(row) {
			return n
		}
	}
	return nil
}

// isNamedIn reports whether a row names the process. The name is followed by no digit, which would be that of another process.
func (n *Node) isNamedIn(row []byte) bool {
	_, rest, found := bytes.Cut(row, []byte(n.name))
	return found && (len(rest) == 0 || rest[0] < '0' || rest[0] > '9')
}
