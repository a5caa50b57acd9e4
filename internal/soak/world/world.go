// Package world starts processes of the project on loopback addresses, and stands for the platform, its workers, its operator and its
// clients. It records what clients and workers see.
//
// # Usage
//
//	w, err := world.New(world.Options{Program: "target/chivetiller", Record: file})
//	defer w.Close()
//	_, err = w.AddWorker("w1", "desk", "z1", "r1", "m1")
//	w.Configure([]string{"desk"}, world.NewQueue("q", "desk", 3))
//	err = w.StartNodes()
package world

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/promises"
)

const (
	host      = "jobs.example"
	apiKey    = "key-of-tenant-a"
	keyHeader = "X-Api-Key"
)

// Options choose what a world consists of.
type Options struct {
	// Program is the path of the program.
	Program string
	// Record receives what was sent, answered and run.
	Record io.Writer
	// Directory receives the settings and logs of the processes, and is kept. Without it they are in a temporary directory, which is kept
	// if Keep is set.
	Directory string
	Keep      bool
	// Nodes is the number of processes, at least one for each zone.
	Nodes int
	// Zoned means that zones can be cut off.
	Zoned bool
	// SlowClocks means that the clocks of workers are up to 2 % slow.
	SlowClocks bool
	// Seed is the seed of what the stand-ins draw.
	Seed uint64
	// MemoryMB and Descriptors are the limits of each process in its settings, and the usual ones if they are 0.
	MemoryMB    int
	Descriptors int
}

const (
	defaultMemoryMB    = 284
	defaultDescriptors = 4100
)

// World is everything that a case or a series starts.
type World struct {
	rec     *recorder
	options Options
	store   *Store
	cloud   *cloud
	history *promises.History
	dir     string
	network string
	// taken is a listener that keeps other worlds from using the network.
	taken net.Listener
	ips   int
	nodes []*Node
	// peerLinks are the links between processes, if zones can be cut off.
	peerLinks []peerLink
	version   int
	// ownEnds counts the processes that have ended by themselves.
	ownEnds atomic.Int64
	closed  atomic.Bool

	mu      sync.Mutex
	random  *rand.Rand
	workers []*Worker
	runs    []*Run
	jobs    map[string]Job
	gangs   map[gangKey]*gang
	// answers counts the answers to clients by their status.
	answers map[int]int
	// cutZone is the zone that is cut off from all others and from the store, if any.
	cutZone string
	// onStart is called in a goroutine of its own when a worker begins a run.
	onStart func(ws *Worker, task string)
}

// Run is a run that a worker has begun.
type Run struct {
	promises.Run
	Begun, Ended time.Time
	How          promises.How
	Acked        bool
}

// New returns a world without workers and processes.
func New(o Options) (*World, error) {
	dir := o.Directory
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "chivetiller-soak-"); err != nil {
			return nil, err
		}
	}
	if o.MemoryMB == 0 {
		o.MemoryMB = defaultMemoryMB
	}
	if o.Descriptors == 0 {
		o.Descriptors = defaultDescriptors
	}
	rec := &recorder{start: time.Now(), out: o.Record}
	w := &World{
		rec: rec, options: o, dir: dir, store: newStore(rec), history: promises.NewHistory(), random: rand.New(rand.NewPCG(o.Seed, 1)),
		jobs: make(map[string]Job), gangs: make(map[gangKey]*gang), answers: make(map[int]int),
	}
	w.store.share = w.draw
	if err := w.takeNetwork(); err != nil {
		return nil, err
	}
	w.cloud = &cloud{w: w, machines: make(map[string]*machine)}
	return w, nil
}

// takeNetwork takes a network of loopback addresses that no other world uses.
func (w *World) takeNetwork() (err error) {
	const tries = 100
	for range tries {
		w.network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
		if w.taken, err = net.Listen("tcp", fmt.Sprintf("%s.%d:%d", w.network, serverHost, networkPort)); err == nil {
			return nil
		}
	}
	return err
}

// Record adds a line to the record.
func (w *World) Record(format string, args ...any) { w.rec.add(format, args...) }

// History returns what clients and workers have seen.
func (w *World) History() *promises.History { return w.history }

// Store returns the store of the platform.
func (w *World) Store() *Store { return w.store }

// Nodes returns the processes.
func (w *World) Nodes() []*Node { return w.nodes }

// Workers returns the workers that were ever added.
func (w *World) Workers() []*Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*Worker(nil), w.workers...)
}

// OwnEnds returns the number of processes that have ended by themselves.
func (w *World) OwnEnds() int { return int(w.ownEnds.Load()) }

// OnStart sets what is called in a goroutine of its own when a worker begins a run.
func (w *World) OnStart(f func(ws *Worker, task string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onStart = f
}

// draw returns a number from 0 to 1.
func (w *World) draw() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Float64()
}

// drawTime draws a time between two.
func (w *World) drawTime(from, to time.Duration) time.Duration {
	return from + time.Duration(w.draw()*float64(to-from))
}

// Hosts of the addresses of stand-ins. Processes have addresses of their own, since all use the same ports.
const (
	serverHost = 252
	workerHost = 253
	linkHost   = 254
	// networkPort is the port that a world takes in its network.
	networkPort = 8339
)

// anyPort returns the address of a free port of a host.
func (w *World) anyPort(host int) string { return fmt.Sprintf("%s.%d:0", w.network, host) }

func (w *World) nextIP() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ips++
	return fmt.Sprintf("%s.%d", w.network, w.ips)
}

// Close ends all processes that were started.
func (w *World) Close() {
	w.closed.Store(true)
	var ends sync.WaitGroup
	for _, n := range w.nodes {
		ends.Go(n.Kill)
	}
	ends.Wait()
	// The logs of the processes are kept on request.
	if w.options.Keep || w.options.Directory != "" {
		w.Record("files are kept in %s", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

// exitNotRun is the exit code of a program that was interrupted.
const exitNotRun = 2

// CloseEarly ends all processes and the program when it is interrupted or takes too long.
func (w *World) CloseEarly(limit time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(limit):
	}
	w.Record("interrupted, or over the limit of %s", limit)
	w.Close()
	os.Exit(exitNotRun)
}

func (w *World) serve(h http.Handler) (address string, err error) {
	listener, err := net.Listen("tcp", w.anyPort(serverHost))
	if err != nil {
		return "", err
	}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: h}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// observeStart, observeEnd and observeAck record what the workers have seen.
func (w *World) observeStart(ws *Worker, r promises.Run, fence uint64, late bool) {
	if late {
		w.history.RunBeganLate(r)
	} else {
		w.history.RunBegan(r)
	}
	w.history.RunAtWork(r)
	w.mu.Lock()
	w.runs = append(w.runs, &Run{Run: r, Begun: time.Now()})
	onStart := w.onStart
	w.mu.Unlock()
	if onStart != nil {
		go onStart(ws, r.Task.String())
	}
	w.Record("worker %s starts task %s run %d, fence %d, late %t", ws.id, r.Task, r.Number, fence, late)
}

func (w *World) observeEnd(r promises.Run, how promises.How) {
	w.history.RunEnded(r, how)
	w.mu.Lock()
	for _, o := range w.runs {
		if o.Run == r {
			o.Ended, o.How = time.Now(), how
		}
	}
	w.mu.Unlock()
	w.breakGang(r, how)
	w.Record("worker %s: task %s run %d ends: %s", r.Worker, r.Task, r.Number, how)
}

func (w *World) observeAck(ws *Worker, r promises.Run) {
	w.history.EndAcknowledged(r)
	w.mu.Lock()
	for _, o := range w.runs {
		if o.Run == r {
			// An end counts as taken note of unless the lease lapsed between the two.
			o.Acked = ws.lapsed.Before(o.Ended)
		}
	}
	w.mu.Unlock()
	w.Record("worker %s: end of task %s run %d is taken note of", ws.id, r.Task, r.Number)
}

// Observed returns copies of the runs that workers have begun.
func (w *World) Observed() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	runs := make([]Run, 0, len(w.runs))
	for _, o := range w.runs {
		runs = append(runs, *o)
	}
	return runs
}

// Answers returns how many answers of each status clients have got, with 0 for none.
func (w *World) Answers() map[int]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.answers)
}

// Queue is a queue of a configuration.
type Queue struct {
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

// NewQueue returns a queue whose prefix is its name.
func NewQueue(name, service string, attempts int) Queue {
	return Queue{Name: name, Host: host, Prefix: "/" + name + "/", Kind: "unsafe", Service: service, Timeout: 3000, Goal: 600, Attempts: attempts, Stretch: 1.6}
}

// Team is a team of a configuration.
type Team struct {
	Name string
	promises.Team
}

// Configure writes the next version of the configuration, with one team.
func (w *World) Configure(services []string, queues ...Queue) {
	w.ConfigureTeams([]Team{{Name: "tenant-a", Team: promises.Team{Keys: []string{apiKey}}}}, services, queues...)
}

// ConfigureTeams writes the next version of the configuration. It returns once the store has acknowledged it.
func (w *World) ConfigureTeams(teams []Team, services []string, queues ...Queue) {
	w.version += 2
	c := promises.Configuration{Version: w.version, Queues: make(map[string]promises.Queue), Teams: make(map[string]promises.Team)}
	list := make([]map[string]any, 0, len(services))
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "enforces_capacity": true})
	}
	names := make([]string, 0, len(queues))
	for _, q := range queues {
		names = append(names, q.Name)
		c.Queues[q.Name] = promises.Queue{Pool: q.Service, Attempts: q.Attempts}
	}
	wireTeams := make([]map[string]any, 0, len(teams))
	for _, t := range teams {
		c.Teams[t.Name] = t.Team
		wireTeams = append(wireTeams, map[string]any{"name": t.Name, "api_keys": t.Keys, "weight": 1, "cap": resources(t.Limit)})
	}
	acknowledged := w.history.Configure(c)
	w.store.waitUp()
	w.store.Put(rowKey{Table: "op", Key: "config"}, map[string]any{
		"version": w.version, "routes": queues, "services": list, "limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		}, "tenants": wireTeams,
	})
	acknowledged()
	w.Record("operator: configuration %d with the queues %s and the teams %v", w.version, strings.Join(names, " "), teams)
}

// RequestWave writes the request for a maintenance wave.
func (w *World) RequestWave(number, maxUnavailable int, finish time.Duration, machines []string) {
	w.store.waitUp()
	w.store.Put(rowKey{Table: "op", Key: fmt.Sprintf("wave/%d", number)}, map[string]any{
		"wave": number, "machines": machines, "finish_by_s": finish.Seconds(), "cap": maxUnavailable,
	})
	w.Record("operator: wave %d of %s", number, strings.Join(machines, " "))
}

// malformedEntries are registry entries of another writer.
var malformedEntries = []string{`{`, `[]`, `"worker"`, `{"service":7}`, `{"service":"desk","addr":"127.0.0.1:1","state":"odd","capacity":{"cpu":-1}}`, "\x00\xff"}

// malformedJobs are bodies of requests that are no jobs.
var malformedJobs = []string{
	`{`, `[]`, `{"spec":7}`, `{"spec":"run 10","steps":[]}`, `{"spec":"run 10","steps":[{"count":1,"cpu":1,"mem_mb":1,"after":[7]}]}`,
	`{"spec":"run 10","steps":[{"count":-1,"cpu":1,"mem_mb":1}]}`, `{"spec":"run 10","steps":[{"count":1,"cpu":1,"mem_mb":1,"after":[0]}]}`,
}

// malformedID is the first ID of a malformed job.
const malformedID = 0xbad0000

// SendMalformed writes registry entries and sends requests that are malformed.
func (w *World) SendMalformed(key, queue string) {
	for i, entry := range malformedEntries {
		w.store.putRaw(rowKey{Table: "servers", Key: fmt.Sprintf("odd-%d", i+1)}, []byte(entry))
	}
	c := w.NewCaller(0)
	for i, body := range malformedJobs {
		n := w.nodes[i%len(w.nodes)]
		path := fmt.Sprintf("/%s/%016x", queue, malformedID+i)
		status := c.send(http.MethodPost, n, path, key, body).status
		w.Record("client: malformed POST %s at %s: %d", path, n.name, status)
	}
}
