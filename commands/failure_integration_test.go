package commands

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/common/problem"
	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/peer/devcert"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	platformstandin "github.com/chivetiller/chivetiller/provider/standin"
	"github.com/chivetiller/chivetiller/standin"
	"github.com/chivetiller/chivetiller/team"
)

const (
	// keyFreshness is the delay after which a revoked key must no longer work. dispatchSlack is added to it for the time
	// from the check of the key to the arrival of the request at the endpoint.
	keyFreshness  = 1500 * time.Millisecond
	dispatchSlack = 500 * time.Millisecond
	teamLimit     = 10
	loadDuration  = 8 * time.Second
	loadInterval  = 4 * time.Millisecond
	faultDelay    = 2 * time.Second
	faultDuration = 3 * time.Second
	revokeAt      = 5 * time.Second
	// maxLoadDuration is the time in which callers on a busy machine have to send the requests of loadDuration.
	maxLoadDuration = time.Minute
	bodyPrefix      = "body of "
	// openTeam stands for open work, which needs no key. The key of revokedTeam is revoked during the test.
	openTeam    = "open"
	revokedTeam = "office"
)

// fleetSlots limits how many fleets run at a time. A fleet, its callers and its endpoints use 1.5 cores under the race
// detector. Callers and endpoints that wait for a core delay requests beyond their deadlines.
var fleetSlots = make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/4))

// testFleet is a fleet whose entry instances are separate processes. The platform and the endpoints run in the test.
type testFleet struct {
	platform     *platformstandin.Platform
	endpoints    []*standin.Endpoint
	entries      []*exec.Cmd
	logs         []*logBuffer
	killed       map[int]bool
	callers      []string
	keys         map[string]string
	keyRevokedAt time.Time
	// loadStartedAt is when the load started, and sent the number of requests that callers have sent since.
	loadStartedAt time.Time
	sent          atomic.Int64
	drivers       []*recordingDriver
	// resumeEndpoints ends the pause of the endpoints.
	resumeEndpoints func()

	mu      sync.Mutex
	results []callResult
}

// callResult is a request of a caller and its outcome.
type callResult struct {
	id, team   string
	atMostOnce bool
	// duplicate marks a request that is sent to two entry instances at the same time with one Idempotency-Key.
	duplicate bool
	// sentAt and endedAt are the times when the request was sent and when its outcome was known.
	sentAt, endedAt time.Time
	// status is the HTTP status, or 0 if there was no response.
	status int
	notRun bool
	// problem is the kind of the problem and its detail if the request was rejected.
	problem string
	// digest is the SHA-256 digest in hex of the response body, if it was received completely.
	digest string
}

// TestFailures checks the guarantees while entry instances are killed or frozen, the platform fails, and data centres
// are partitioned: requests with a key run at most once, "not run" is true, each response is complete and belongs to
// its request, upper limits hold over the fleet, and revoked keys stop working.
func TestFailures(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes and runs for ten seconds")
	}
	down := platformstandin.Faults{Down: true}
	lossy := platformstandin.Faults{LoseResponse: 0.2, Late: 0.1, Duplicate: 0.2, LateBy: 300 * time.Millisecond}
	tests := map[string]struct {
		// platform holds the faults of the platform. startFault and endFault start and end others.
		platform   platformstandin.Faults
		startFault func(fleet *testFleet)
		endFault   func(fleet *testFleet)
		// openServed requires that open work is answered during the fault, at all entry instances together.
		openServed bool
		// faultDelay is the time before the fault. The default is the constant of that name.
		faultDelay time.Duration
		// revokeDuring revokes the key at the start of the fault, so that entry instances cannot receive the change.
		revokeDuring bool
		// runWave starts a maintenance wave together with the load.
		runWave bool
	}{
		"no fault": {openServed: true},
		"entry instance killed": {
			startFault: func(fleet *testFleet) { fleet.kill(0) },
		},
		"entry instance frozen": {
			startFault: func(fleet *testFleet) { _ = fleet.entries[0].Process.Signal(syscall.SIGSTOP) },
			endFault:   func(fleet *testFleet) { _ = fleet.entries[0].Process.Signal(syscall.SIGCONT) },
		},
		"platform down":                          {platform: down, openServed: true},
		"key revoked while the platform is down": {platform: down, openServed: true, revokeDuring: true},
		"key revoked while the endpoints are paused": {
			startFault:   func(fleet *testFleet) { fleet.pauseEndpoints() },
			endFault:     func(fleet *testFleet) { fleet.resumeEndpoints() },
			faultDelay:   loadDuration - faultDuration, // so that the revoked team is answered before it
			revokeDuring: true,
		},
		"maintenance wave whose holder is killed": {
			startFault: func(fleet *testFleet) { fleet.kill(fleet.waveHolder()) },
			runWave:    true,
		},
		"maintenance wave while the platform loses and repeats": {platform: lossy, runWave: true},
		"platform loses and repeats":                            {platform: lossy, openServed: true},
		"data centre partitioned from the platform": {
			startFault: func(fleet *testFleet) { fleet.platform.Partition(platformstandin.Identity{DataCentre: "north"}) },
			endFault:   func(fleet *testFleet) { fleet.platform.Heal(platformstandin.Identity{DataCentre: "north"}) },
			openServed: true,
		},
		"killed while the platform is down": {
			platform:   down,
			startFault: func(fleet *testFleet) { fleet.kill(1) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleetSlots <- struct{}{}
			defer func() { <-fleetSlots }()
			o := fleetOptions{allotmentDuration: 2 * time.Second, balancerWait: 100 * time.Millisecond}
			if tt.revokeDuring {
				o.allotmentDuration = 30 * time.Second // so that only the freshness of the configuration can stop work with a key
			}
			fleet := newTestFleet(t, o)
			var load sync.WaitGroup
			fleet.loadStartedAt = time.Now()
			load.Go(func() { fleet.runLoad(t.Context()) })
			if tt.runWave {
				fleet.startWave(t)
			}
			faultAt := cmp.Or(tt.faultDelay, faultDelay)
			fleet.waitForLoad(t, faultAt)
			fleet.platform.SetFaults(tt.platform)
			if tt.startFault != nil {
				tt.startFault(fleet)
			}
			fault := time.Now()
			if tt.revokeDuring {
				fleet.revokeKey(t)
			}
			time.Sleep(faultDuration)
			fleet.waitForLoad(t, faultAt+faultDuration)
			faultEnd := time.Now()
			fleet.platform.SetFaults(platformstandin.Faults{})
			if tt.endFault != nil {
				tt.endFault(fleet)
			}
			if !tt.revokeDuring {
				fleet.waitForLoad(t, revokeAt)
				fleet.revokeKey(t)
			}
			load.Wait()
			fleet.stop(t)
			fleet.checkHistories(t)
			if tt.runWave {
				fleet.checkWave(t)
			}
			if tt.openServed {
				fleet.checkOpenWork(t, fault, faultEnd)
			}
		})
	}
}

// TestSecondSignal guards against a stop that a second signal does not shorten, or that exits with code 0 although
// something was left unfinished.
func TestSecondSignal(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	fleetSlots <- struct{}{}
	defer func() { <-fleetSlots }()
	fleet := newTestFleet(t, fleetOptions{allotmentDuration: 2 * time.Second, balancerWait: time.Minute})
	first := fleet.entries[0]
	qt.Assert(t, first.Process.Signal(syscall.SIGTERM), qt.IsNil)
	// The instance is no longer ready, but still serves while the load balancer may send requests.
	for n := 0; n < 200 && isReady(fleet.callers[0]); n++ {
		time.Sleep(10 * time.Millisecond)
	}
	qt.Assert(t, isReady(fleet.callers[0]), qt.IsFalse)
	fleet.sendCall(&http.Client{Timeout: 5 * time.Second}, fleet.callers[0], callResult{id: ident.New(), team: openTeam})
	qt.Assert(t, fleet.results[0].status, qt.Equals, http.StatusOK)

	begin := time.Now()
	qt.Assert(t, first.Process.Signal(syscall.SIGTERM), qt.IsNil)
	err := first.Wait()
	qt.Assert(t, time.Since(begin) < 20*time.Second, qt.IsTrue)
	qt.Assert(t, err, qt.ErrorMatches, "exit status 1")
	qt.Assert(t, strings.Contains(fleet.logs[0].String(), "Second signal received"), qt.IsTrue)
}

// fleetOptions are settings of the entry instances.
type fleetOptions struct {
	// allotmentDuration is the duration for which an allotment is valid.
	allotmentDuration time.Duration
	balancerWait      time.Duration
}

func newTestFleet(t *testing.T, o fleetOptions) *testFleet {
	fleet := &testFleet{keys: make(map[string]string), killed: make(map[int]bool)}
	fleet.platform = platformstandin.New(platformstandin.Options{ListLag: 200 * time.Millisecond, ReportInterval: 100 * time.Millisecond})
	server, err := platformstandin.Serve(fleet.platform, "127.0.0.1:0", hclog.NewNullLogger())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = server.Stop(context.Background()) })
	fleet.configure(t)
	fleet.startEndpoints(t)
	fleet.startEntries(t, server.Address(), o)
	return fleet
}

func (fleet *testFleet) configure(t *testing.T) {
	documents := []config.Document{
		config.NewDocument(pool.Spec{Name: "desk", MaxUnavailable: "50%"}),
		config.NewDocument(class.Spec{Name: "swap", Pool: "desk", Target: "1s", Share: 1}),
		config.NewDocument(class.Spec{Name: "flags", Pool: "desk", Target: "1s", Share: 1, Open: true}),
	}
	for _, name := range []string{"supervisors", revokedTeam} {
		key, stored, err := team.NewKey(name)
		qt.Assert(t, err, qt.IsNil)
		fleet.keys[name] = key
		documents = append(documents, config.NewDocument(team.Spec{Name: name, Share: 1, UpperLimit: teamLimit, Keys: []team.KeySpec{stored}}))
	}
	_, err := config.NewStore(fleet.platform.Table(), config.StoreOptions{}).Change(t.Context(), config.Request{OperationID: ident.New(), Author: "test", Puts: documents})
	qt.Assert(t, err, qt.IsNil)
}

func (fleet *testFleet) startEndpoints(t *testing.T) {
	rows := pool.NewStore(fleet.platform.Table())
	for i := range 6 {
		listed := provider.Instance{ID: fmt.Sprintf("i%d", i), DataCentre: []string{"north", "south", "harbour"}[i%3], Rack: fmt.Sprint(i), Slots: standin.DefaultSlots, Incarnation: 1}
		e := standin.New(standin.Options{ID: listed.ID, ServiceTime: standin.LogNormal(150*time.Millisecond, 0.5), RecordArrivals: true})
		qt.Assert(t, e.Start(t.Context()), qt.IsNil)
		t.Cleanup(func() { _ = e.Crash() })
		listed.Address = e.Address()
		driver := &recordingDriver{InstanceDriver: standin.NewInstanceDriver(e, 100*time.Millisecond), id: listed.ID, endpoint: e}
		fleet.drivers = append(fleet.drivers, driver)
		qt.Assert(t, fleet.platform.Instances().Add(listed, driver), qt.IsNil)
		_, err := rows.Adopt(t.Context(), time.Now(), listed, "desk")
		qt.Assert(t, err, qt.IsNil)
		fleet.endpoints = append(fleet.endpoints, e)
	}
}

func (fleet *testFleet) startEntries(t *testing.T, platformAddress string, o fleetOptions) {
	dir := t.TempDir()
	authority, err := devcert.NewAuthority()
	qt.Assert(t, err, qt.IsNil)
	for _, dataCentre := range []string{"north", "south", "harbour"} {
		files, err := authority.Write(dir, dataCentre, time.Hour)
		qt.Assert(t, err, qt.IsNil)
		text := fmt.Sprintf(`name: %[1]s
dataCentre: %[1]s
listen: {callers: '127.0.0.1:0', operators: '127.0.0.1:0', peers: '127.0.0.1:0'}
platform: {url: 'http://%[2]s', timeout: 1s, writesPerSecond: 100, readsPerSecond: 600}
certificates: {authority: %[3]q, certificate: %[4]q, key: %[5]q}
membership: {heartbeat: 200ms}
keys: {freshness: %[6]s}
allotments: {term: %[7]s}
waves: {lease: 2s, interval: 100ms}
stop: {balancerWait: %[8]s}
log: {level: debug}
`, dataCentre, platformAddress, files.Authority, files.Certificate, files.Key, keyFreshness, o.allotmentDuration, o.balancerWait)
		path := filepath.Join(dir, dataCentre+".yaml")
		qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		cmd := exec.Command("chivetiller", "entry", "--settings", path)
		output := new(logBuffer)
		cmd.Stderr = output
		qt.Assert(t, cmd.Start(), qt.IsNil)
		t.Cleanup(func() {
			if cmd.ProcessState == nil {
				_ = cmd.Process.Kill()
				_ = cmd.Wait()
			}
		})
		fleet.entries = append(fleet.entries, cmd)
		fleet.logs = append(fleet.logs, output)
	}
	for _, log := range fleet.logs {
		fleet.callers = append(fleet.callers, log.waitForCallerAddress(t))
	}
	for _, address := range fleet.callers {
		waitReady(t, address)
	}
}

// logBuffer holds the log of a process while it runs.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements [io.Writer].
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns the log so far.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

var callersPattern = regexp.MustCompile(`Entry instance started.*callers=([0-9.:]+)`)

// waitForCallerAddress returns the listen address for callers when the process has logged it. The process picks the
// port, since a port that the test picks could be taken by another process in the meantime.
func (b *logBuffer) waitForCallerAddress(t *testing.T) string {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		if match := callersPattern.FindStringSubmatch(b.String()); match != nil {
			return match[1]
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("entry instance did not start:\n%s", lastLines(b.String()))
	return ""
}

func waitReady(t *testing.T, address string) {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		if isReady(address) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("entry instance at %s did not become ready", address)
}

func isReady(address string) bool {
	response, err := http.Get("http://" + address + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// runLoad sends requests of both teams beyond their upper limits, and open requests, to random entry instances. It ends
// when the requests of loadDuration have been sent, so that a slow caller sends as many as a fast one.
func (fleet *testFleet) runLoad(ctx context.Context) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var calls sync.WaitGroup
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for i := 0; i < requestsOf(loadDuration) && ctx.Err() == nil; i++ {
		<-ticker.C
		c := callResult{id: ident.New(), team: []string{"supervisors", revokedTeam, openTeam}[i%3], sentAt: time.Now()}
		c.atMostOnce = c.team != openTeam && rand.IntN(2) == 0
		c.duplicate = c.atMostOnce && rand.IntN(4) == 0
		first := rand.IntN(len(fleet.callers))
		calls.Go(func() { fleet.sendCall(client, fleet.callers[first], c) })
		if c.duplicate {
			calls.Go(func() { fleet.sendCall(client, fleet.callers[(first+1)%len(fleet.callers)], c) })
		}
		fleet.sent.Add(1)
	}
	calls.Wait()
}

// requestsOf returns how many requests callers send in a part of the load.
func requestsOf(part time.Duration) int { return int(part / loadInterval) }

// waitForLoad waits until callers have sent the requests of the first part of the load.
func (fleet *testFleet) waitForLoad(t *testing.T, part time.Duration) {
	deadline := fleet.loadStartedAt.Add(maxLoadDuration)
	for int(fleet.sent.Load()) < requestsOf(part) {
		if time.Now().After(deadline) {
			t.Fatalf("callers have sent %d of %d requests in %s", fleet.sent.Load(), requestsOf(part), maxLoadDuration)
		}
		time.Sleep(loadInterval)
	}
}

func (fleet *testFleet) sendCall(client *http.Client, address string, c callResult) {
	name, method := "swap", http.MethodPost
	if c.team == openTeam {
		name, method = "flags", http.MethodPut
	}
	sent := []byte(bodyPrefix + c.id)
	// The path carries the team and the caller's ID into the records of the endpoint.
	url := fmt.Sprintf("http://%s/work/%s/%s/%s", address, name, c.team, c.id)
	request, err := http.NewRequest(method, url, bytes.NewReader(sent))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Authorization", "Bearer "+fleet.keys[c.team])
	if c.atMostOnce {
		request.Header.Set("Idempotency-Key", c.id)
	}
	if response, err := client.Do(request); err == nil {
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		c.status = response.StatusCode
		if err == nil {
			sum := sha256.Sum256(body)
			c.digest = hex.EncodeToString(sum[:])
		}
		var document problem.Document
		if response.StatusCode != http.StatusOK && json.Unmarshal(body, &document) == nil {
			c.notRun = document.NotRun
			c.problem = document.Type[strings.LastIndex(document.Type, ":")+1:]
			if document.Detail != "" {
				c.problem += ": " + document.Detail
			}
		}
	}
	c.endedAt = time.Now()
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.results = append(fleet.results, c)
}

// pauseEndpoints lets the endpoints receive requests without running them, until resumeEndpoints is called.
func (fleet *testFleet) pauseEndpoints() {
	resumed := make(chan struct{})
	fleet.resumeEndpoints = sync.OnceFunc(func() { close(resumed) })
	for _, e := range fleet.endpoints {
		e.OnRequest(func(*http.Request) { <-resumed })
	}
}

// kill sends SIGKILL to an entry instance.
func (fleet *testFleet) kill(i int) {
	fleet.killed[i] = true
	_ = fleet.entries[i].Process.Kill()
}

// stop sends SIGTERM to the entry instances that are not killed, and checks that they exit with code 0. It checks that
// no instance has logged keys or bodies.
func (fleet *testFleet) stop(t *testing.T) {
	for i, cmd := range fleet.entries {
		if !fleet.killed[i] {
			qt.Check(t, cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
		}
	}
	for i, cmd := range fleet.entries {
		if err := cmd.Wait(); !fleet.killed[i] {
			qt.Check(t, err, qt.IsNil, qt.Commentf("entry instance %d:\n%s", i, lastLines(fleet.logs[i].String())))
		}
		log := fleet.logs[i].String()
		for name, key := range fleet.keys {
			_, secret, _ := strings.Cut(key, ".")
			qt.Check(t, strings.Contains(log, secret), qt.IsFalse, qt.Commentf("key of %s is in the log", name))
		}
		qt.Check(t, strings.Contains(log, bodyPrefix), qt.IsFalse, qt.Commentf("a body is in the log"))
	}
}

// lastLines returns the end of a log.
func lastLines(log string) string { return log[max(0, len(log)-2000):] }

// revokeKey removes the key of revokedTeam, and records when the change was accepted.
func (fleet *testFleet) revokeKey(t *testing.T) {
	store := config.NewStore(fleet.platform.Table(), config.StoreOptions{})
	_, err := store.Change(t.Context(), config.Request{
		OperationID: ident.New(), Author: "test",
		Puts: []config.Document{config.NewDocument(team.Spec{Name: revokedTeam, Share: 1, UpperLimit: teamLimit})},
	})
	qt.Assert(t, err, qt.IsNil)
	fleet.keyRevokedAt = time.Now()
}

// checkOpenWork checks that at least 90% of the open requests sent during the fault were answered.
func (fleet *testFleet) checkOpenWork(t *testing.T, from, to time.Time) {
	answered, all := 0, 0
	for _, c := range fleet.results {
		if c.team == openTeam && c.sentAt.After(from) && c.sentAt.Before(to) {
			all++
			if c.status == http.StatusOK {
				answered++
			}
		}
	}
	qt.Check(t, answered*10 >= all*9, qt.IsTrue, qt.Commentf("%d of %d open requests were answered during the fault", answered, all))
}
