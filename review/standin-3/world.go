// Command standin-3 starts processes of the project on loopback addresses with stand-ins for the platform, its workers, its operator and its
// clients, and plays one case of the review. The stand-ins do what the users' pages say.
//
//	standin-3 --case advice --program target/chivetiller --record review/11/record.txt [--trouble=false]
//
// The exit code is 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	zones = 3
	// Hosts of the stand-ins in the network of a world. Processes have addresses of their own, since all serve their metrics on the same port.
	serverHost  = 252
	workerHost  = 253
	networkPort = 8339
	// nodePorts is the number of ports of a process: for clients, readiness, and two for other processes.
	nodePorts    = 4
	readyTimeout = 15 * time.Second
)

// Run is a run that a worker has begun.
type Run struct {
	Task         string
	Number       int
	Worker       string
	Begun, Ended time.Time
	How          string
	NotedAt      time.Time
}

// Step is a step of a job as it is submitted.
type Step struct {
	Resources
	Count        int    `json:"count"`
	Estimate     int64  `json:"est_ms"`
	After        []int  `json:"after,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	MaxPerWorker int    `json:"max_per_server,omitempty"`
	Requires     string `json:"requires,omitempty"`
}

// Job is a job of a client.
type Job struct {
	ID, Queue, Spec string
	Steps           []Step
	// advised means that the queue of the job has a policy, so that a start needs a ticket. That stays so if the queue is removed.
	advised  bool
	policy   Advice
	Accepted time.Time
	Answers  []int
}

// Advice is the policy of a queue.
type Advice struct {
	Decide int64 `json:"decide_ms"`
	Each   int64 `json:"each_ms"`
	Valid  int64 `json:"valid_ms"`
}

// Queue is a queue of a configuration. Its prefix is its name.
type Queue struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"prefix"`
	Kind     string  `json:"kind"`
	Service  string  `json:"service"`
	Timeout  int     `json:"timeout_ms"`
	Goal     int     `json:"goal_ms"`
	Priority int     `json:"priority"`
	Attempts int     `json:"attempts"`
	Stretch  float64 `json:"stretch"`
	Advice   *Advice `json:"advice,omitempty"`
}

const (
	jobsHost = "jobs.example"
	apiKey   = "key-of-tenant-a"
	// service is the service of all queues.
	service   = "desk"
	keyHeader = "X-Api-Key"
)

func newQueue(name string, advice *Advice) Queue {
	return Queue{Name: name, Host: jobsHost, Prefix: "/" + name + "/", Kind: "unsafe", Service: service, Timeout: 3000, Goal: 600, Attempts: 3, Stretch: 1.6, Advice: advice}
}

// World is everything that a case starts.
type World struct {
	start   time.Time
	record  io.Writer
	program string
	dir     string
	network string
	taken   net.Listener
	store   *Store
	nodes   []*Node
	version int

	recordMu sync.Mutex

	mu      sync.Mutex
	workers []*Worker
	jobs    map[string]*Job
	runs    []*Run
	tickets map[string]ticket
	// advised counts the calls of the policy service that were answered, and turnedAway and givenUp those that were not.
	advised, turnedAway, givenUp int
}

// NewWorld returns a world with a store.
func NewWorld(program string, record io.Writer) (*World, error) {
	dir, err := os.MkdirTemp("", "chivetiller-review-")
	if err != nil {
		return nil, err
	}
	w := &World{start: time.Now(), record: record, program: program, dir: dir, store: newStore(), jobs: make(map[string]*Job), tickets: make(map[string]ticket)}
	for range 100 {
		w.network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
		if w.taken, err = net.Listen("tcp", fmt.Sprintf("%s:%d", w.host(serverHost), networkPort)); err == nil {
			return w, nil
		}
	}
	return nil, err
}

func (w *World) host(n int) string { return fmt.Sprintf("%s.%d", w.network, n) }

// Record adds a line to the record.
func (w *World) Record(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes that were started.
func (w *World) Close() {
	var ends sync.WaitGroup
	for _, n := range w.nodes {
		ends.Go(n.Kill)
	}
	ends.Wait()
	_ = os.RemoveAll(w.dir)
}

func (w *World) runBegan(r *Run) {
	w.mu.Lock()
	w.runs = append(w.runs, r)
	w.mu.Unlock()
	w.Record("worker %s starts task %s run %d", r.Worker, r.Task, r.Number)
}

func (w *World) runEnded(r *Run, how string) {
	w.mu.Lock()
	r.Ended, r.How = time.Now(), how
	w.mu.Unlock()
	w.Record("worker %s: task %s run %d ends: %s", r.Worker, r.Task, r.Number, how)
}

func (w *World) endNoted(r *Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.NotedAt.IsZero() {
		r.NotedAt = time.Now()
	}
}

// stepOf returns the step of a task, if a client has submitted its job.
func (w *World) stepOf(task string) (Step, *Job, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return Step{}, nil, false
	}
	n, err := strconv.Atoi(parts[2])
	w.mu.Lock()
	defer w.mu.Unlock()
	j, ok := w.jobs[parts[0]]
	if err != nil || !ok || n >= len(j.Steps) {
		return Step{}, nil, false
	}
	return j.Steps[n], j, true
}

// Configure writes the next version of the configuration. The service guards its capacity.
func (w *World) Configure(queues ...Queue) {
	w.version += 2
	names := make([]string, 0, len(queues))
	for _, q := range queues {
		names = append(names, q.Name)
	}
	w.store.Put(rowKey{Table: "op", Key: "config"}, map[string]any{
		"version": w.version, "routes": queues, "services": []map[string]any{{"name": service, "enforces_capacity": true}}, "limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		}, "tenants": []map[string]any{{"name": "tenant-a", "api_keys": []string{apiKey}, "weight": 59, "cap": Resources{CPU: 2821012, Memory: 10362391}}},
	})
	w.Record("operator: configuration %d with the queues %s", w.version, strings.Join(names, " "))
}

// nodes is the number of processes, two in each zone.
const nodes = 2 * zones

// Begin starts workers, four in a rack, and processes, with queues.
func (w *World) Begin(workers int, queues ...Queue) error {
	for i := range workers {
		id, machine := fmt.Sprintf("w%d", i+1), fmt.Sprintf("m%d", i+1)
		if err := w.AddWorker(id, fmt.Sprintf("z%d", i%zones+1), fmt.Sprintf("r%d", i/4+1), machine); err != nil {
			return err
		}
	}
	w.Configure(queues...)
	if err := w.StartNodes(nodes); err != nil {
		return err
	}
	// The leader has read the workers by then.
	time.Sleep(3 * time.Second)
	return nil
}

// newJob returns a job of a queue.
func newJob(q Queue, spec string, steps ...Step) *Job {
	j := &Job{ID: fmt.Sprintf("%016x", rand.Uint64()), Queue: q.Name, Spec: spec, Steps: steps}
	if q.Advice != nil {
		j.advised, j.policy = true, *q.Advice
	}
	return j
}

// Node is a process of the project.
type Node struct {
	w                  *World
	name, zone, ip     string
	front, ready, file string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
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
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","platform","advice","upkeep","sharing"]
orders = "rpc"
advice = %q
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
memory_mb = 284
max_fds = 4100
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

// StartNodes starts processes in three zones, and waits until they are ready.
func (w *World) StartNodes(count int) error {
	storeAddress, err := serve(w.host(serverHost)+":0", w.store.handler())
	if err != nil {
		return err
	}
	cloudAddress, err := serve(w.host(serverHost)+":0", w.cloud())
	if err != nil {
		return err
	}
	for i := range count {
		n := &Node{w: w, zone: fmt.Sprintf("z%d", i%zones+1), ip: w.host(i + 1)}
		n.name = fmt.Sprintf("front-%s-%d", n.zone, i/zones+1)
		first, err := freePorts(n.ip)
		if err != nil {
			return err
		}
		// The policy service takes calls of each process at an address of its own, by which it tells them apart.
		adviceAddress, err := serve(w.host(serverHost)+":0", w.advice())
		if err != nil {
			return err
		}
		n.front, n.ready = fmt.Sprintf("%s:%d", n.ip, first), fmt.Sprintf("%s:%d", n.ip, first+1)
		n.file = filepath.Join(w.dir, n.name+".toml")
		settings := fmt.Sprintf(settingsFormat, n.name, n.ip, n.zone, first+2, first+3, adviceAddress, n.front, n.ready, storeAddress, cloudAddress)
		if err := os.WriteFile(n.file, []byte(settings), 0o600); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		if err := n.Start(); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == count && w.Leader() != nil {
			w.Record("%d processes are ready; the leader is %s", ready, w.Leader().name)
			return nil
		}
	}
	return errors.New("the processes are not ready")
}

// freePorts returns the first of nodePorts free ports in a row.
func freePorts(ip string) (first int, err error) {
	for first = 8340; first < 9400; first += nodePorts {
		var listeners []net.Listener
		for i := range nodePorts {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, first+i))
			if err != nil {
				break
			}
			listeners = append(listeners, listener)
		}
		for _, l := range listeners {
			_ = l.Close()
		}
		if len(listeners) == nodePorts {
			return first, nil
		}
	}
	return 0, errors.New("there are no free ports")
}

// Start starts the process with the command of the deploy file.
func (n *Node) Start() error {
	// The logs are kept on request.
	var log *os.File
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		var err error
		if log, err = os.OpenFile(filepath.Join(dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
			return err
		}
		defer func() { _ = log.Close() }()
	}
	cmd := exec.Command(n.w.program, "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHIVETILLER_BOOT=" + n.file}
	if log != nil {
		cmd.Stdout, cmd.Stderr = log, log
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended = cmd, ended
	n.mu.Unlock()
	n.w.Record("process %s is started", n.name)
	go func() {
		err := cmd.Wait()
		n.w.Record("process %s has ended: %v", n.name, err)
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	n.w.Record("process %s gets %s", n.name, s)
	// It fails only if the process has ended.
	_ = cmd.Process.Signal(s)
}

// Kill ends the process with SIGKILL.
func (n *Node) Kill() {
	n.Signal(syscall.SIGKILL)
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

func (n *Node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Leader returns the process that last wrote the row of the leader. Only signals depend on it.
func (w *World) Leader() *Node {
	row := string(w.store.Get(rowKey{Table: "duty", Key: "holder"}))
	for _, n := range w.nodes {
		if strings.Contains(row, n.name) {
			return n
		}
	}
	return nil
}

// cloud returns the service that lists the machines. It moves and maintains none.
func (w *World) cloud() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		list := make([]map[string]any, 0, len(w.workers))
		for _, ws := range w.workers {
			list = append(list, map[string]any{
				"machine": ws.machine, "pool": service, "state": "up", "zone": ws.zone, "labels": []string{"a", ws.rack}, "capacity": ws.capacity, "id": ws.id,
			})
		}
		w.mu.Unlock()
		writeJSON(rw, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
	})
	return mux
}
