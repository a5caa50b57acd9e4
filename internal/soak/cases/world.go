package cases

import (
	"bytes"
	"errors"
	"fmt"
	"io"
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

const (
	host      = "jobs.example"
	apiKey    = "key-of-tenant-a"
	keyHeader = "X-Api-Key"
)

// world is everything that a case starts.
type world struct {
	rec     *recorder
	options Options
	store   *store
	cloud   *cloud
	dir     string
	network string
	ips     int
	workers []*workerServer
	nodes   []*node
	version int
	// zoned means that zones can be cut off.
	zoned bool

	mu   sync.Mutex
	runs []*observedRun
	// cutZone is the zone that is cut off from all others and from the store, if any.
	cutZone string
	// onStart is called in a goroutine of its own when a worker begins a run.
	onStart func(ws *workerServer, task string)
}

// observedRun is a run that a worker has begun.
type observedRun struct {
	task, worker string
	number, life int
	begun, ended time.Time
	how          string
	acked        bool
}

func newWorld(rec *recorder, o Options) (*world, error) {
	dir, err := os.MkdirTemp("", "chivetiller-soak-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, options: o, dir: dir, store: newStore(rec), network: fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250+1)}
	w.cloud = &cloud{w: w, machines: make(map[string]*machine)}
	return w, nil
}

func (w *world) nextIP() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ips++
	return fmt.Sprintf("%s.%d", w.network, w.ips)
}

// close ends all processes that the case has started.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	// The logs of the processes are kept on request.
	if w.options.Keep {
		w.rec.add("files are kept in %s", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

func (w *world) serve(h http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", w.nextIP()+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: h}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// observeStart, observeEnd and observeAck record what the workers have seen.
func (w *world) observeStart(ws *workerServer, r *taskRun, fence uint64) {
	w.mu.Lock()
	w.runs = append(w.runs, &observedRun{task: r.task, worker: ws.id, number: r.number, life: ws.life, begun: time.Now()})
	onStart := w.onStart
	w.mu.Unlock()
	if onStart != nil {
		go onStart(ws, r.task)
	}
	w.rec.add("worker %s starts task %s run %d, fence %d", ws.id, r.task, r.number, fence)
}

func (w *world) observeEnd(ws *workerServer, r *taskRun, how string) {
	w.mu.Lock()
	for _, o := range w.runs {
		if o.task == r.task && o.number == r.number && o.worker == ws.id && o.life == ws.life {
			o.ended, o.how = time.Now(), how
		}
	}
	w.mu.Unlock()
	w.rec.add("worker %s: task %s run %d ends: %s", ws.id, r.task, r.number, how)
}

func (w *world) observeAck(ws *workerServer, e endedRun) {
	w.mu.Lock()
	for _, o := range w.runs {
		if o.task == e.task && o.number == e.number && o.worker == ws.id && o.life == ws.life {
			// An end counts as taken note of unless the lease lapsed between the two.
			o.acked = ws.lapsed.Before(o.ended)
		}
	}
	w.mu.Unlock()
	w.rec.add("worker %s: end of task %s run %d is taken note of", ws.id, e.task, e.number)
}

// observed returns copies of the runs that workers have begun.
func (w *world) observed() []observedRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := make([]observedRun, 0, len(w.runs))
	for _, o := range w.runs {
		runs = append(runs, *o)
	}
	return runs
}

// node is a process of the project.
type node struct {
	w                  *world
	name, zone, ip     string
	front, ready, file string
	firstPort          int

	mu  sync.Mutex
	cmd *exec.Cmd
}

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

// startNodes starts one process in each of three zones.
func (w *world) startNodes() error {
	storeAddress, err := w.serve(w.store.handler())
	if err != nil {
		return err
	}
	cloudAddress, err := w.serve(w.cloud.handler())
	if err != nil {
		return err
	}
	for i := range 3 {
		ip := w.nextIP()
		port, err := freePorts(ip)
		if err != nil {
			return err
		}
		n := &node{w: w, name: fmt.Sprintf("front-z%d-1", i+1), zone: fmt.Sprintf("z%d", i+1), ip: ip, firstPort: port, front: fmt.Sprintf("%s:%d", ip, port), ready: fmt.Sprintf("%s:%d", ip, port+1)}
		n.file = filepath.Join(w.dir, n.name+".toml")
		w.nodes = append(w.nodes, n)
	}
	for _, n := range w.nodes {
		address := storeAddress
		if w.zoned {
			if address, err = w.serveView(n); err != nil {
				return err
			}
		}
		settings := fmt.Sprintf(settingsFormat, n.name, n.ip, n.zone, n.firstPort+2, n.firstPort+3, n.front, n.ready, address, cloudAddress)
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

func (n *node) start() error {
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
	n.mu.Lock()
	n.cmd = cmd
	n.mu.Unlock()
	n.w.rec.add("process %s is started", n.name)
	return log.Close()
}

// restart stops the process gracefully and starts it again once it has ended.
func (n *node) restart() error {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	n.w.rec.add("process %s gets SIGTERM", n.name)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	err := cmd.Wait()
	n.w.rec.add("process %s has ended: %v", n.name, err)
	return n.start()
}

func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil || n.cmd.ProcessState != nil {
		return
	}
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (w *world) waitReady() error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(w.nodes) && w.leader() != nil {
			return nil
		}
	}
	for _, n := range w.nodes {
		log, err := os.ReadFile(n.file + ".log")
		w.rec.add("process %s is ready: %t; its log ends: %s %v", n.name, n.isReady(), log[max(0, len(log)-400):], err)
	}
	return errors.New("the processes are not ready")
}

// leader returns the process that last wrote the row of the leader. Only signals depend on it.
func (w *world) leader() *node {
	row := w.store.get(keyLeader)
	for _, n := range w.nodes {
		if bytes.Contains(row, []byte(n.name)) {
			return n
		}
	}
	return nil
}

// queue is a route of the configuration.
type queue struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"prefix"`
	Kind     string  `json:"kind"`
	Service  string  `json:"service"`
	Timeout  int     `json:"timeout_ms"`
	Goal     int     `json:"goal_ms"`
	Attempts int     `json:"attempts"`
	Stretch  float64 `json:"stretch"`
}

func newQueue(name string, attempts int) queue {
	return queue{Name: name, Host: host, Prefix: "/" + name + "/", Kind: "unsafe", Service: service, Timeout: 3000, Goal: 600, Attempts: attempts, Stretch: 1.6}
}

// configure writes the next version of the configuration.
func (w *world) configure(services []string, queues ...queue) {
	w.version += 2
	list := make([]map[string]any, 0, len(services))
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "enforces_capacity": true})
	}
	w.store.put(rowKey{Table: "op", Key: "config"}, map[string]any{
		"version": w.version, "routes": queues, "services": list, "limits": map[string]any{"max_body_bytes": 262144},
		"tenants": []map[string]any{{"name": "tenant-a", "api_keys": []string{apiKey}, "weight": 1}},
	})
	names := make([]string, 0, len(queues))
	for _, q := range queues {
		names = append(names, q.Name)
	}
	w.rec.add("operator: configuration %d with the queues %s", w.version, strings.Join(names, " "))
}

// call sends a request of a client. The status is 0 if there was no answer.
func (w *world) call(method string, n *node, path, body string) (status int, answer string) {
	request, err := http.NewRequest(method, "http://"+n.front+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set(keyHeader, apiKey)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Chivetiller-Timeout-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}

// submit hands a job in, with up to four attempts at different processes. It reports whether the job was accepted.
func (w *world) submit(first int, path, body string) bool {
	for attempt := range 4 {
		n := w.nodes[(first+attempt)%len(w.nodes)]
		status, _ := w.call(http.MethodPost, n, path, body)
		w.rec.add("client: POST %s at %s: %d", path, n.name, status)
		if status/100 == 2 {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job.
func (w *world) state(path string) string {
	for attempt := range 4 {
		n := w.nodes[attempt%len(w.nodes)]
		status, answer := w.call(http.MethodGet, n, path, "")
		if status != 0 && status/100 != 5 {
			w.rec.add("client: GET %s at %s: %d %s", path, n.name, status, answer)
			return answer
		}
	}
	return ""
}
