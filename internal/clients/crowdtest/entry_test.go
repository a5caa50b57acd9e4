package crowdtest

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/common/ident"
	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/peer/devcert"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	platformstandin "github.com/chivetiller/chivetiller/provider/standin"
	"github.com/chivetiller/chivetiller/standin"
)

// entryTarget is an entry instance that a crowd calls, with one endpoint.
type entryTarget struct {
	callers, operators, metrics, peers string
	pid                                int
	ended                              atomic.Bool
	peakFiles                          atomic.Int64
}

// startEntry starts an entry instance as a process. The platform and the endpoint run in the test. Without certificates it has no port for
// peers.
func startEntry(t *testing.T, certificates devcert.Files) *entryTarget {
	t.Helper()
	platform := platformstandin.New(platformstandin.Options{})
	server, err := platformstandin.Serve(platform, "127.0.0.1:0", hclog.NewNullLogger())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = server.Stop(context.Background()) })
	_, err = config.NewStore(platform.Table(), config.StoreOptions{}).Change(t.Context(), config.Request{OperationID: ident.New(), Author: "test", Puts: []config.Document{
		config.NewDocument(pool.Spec{Name: "desk", MaxUnavailable: "50%"}),
		config.NewDocument(class.Spec{Name: "flags", Pool: "desk", Target: "5s", Share: 1, Open: true}),
	}})
	qt.Assert(t, err, qt.IsNil)
	endpoint := standin.New(standin.Options{ID: "i1", ServiceTime: standin.Exponential(10 * time.Millisecond)})
	qt.Assert(t, endpoint.Start(t.Context()), qt.IsNil)
	t.Cleanup(func() { _ = endpoint.Crash() })
	listed := provider.Instance{ID: "i1", DataCentre: "north", Rack: "r1", Slots: standin.DefaultSlots, Incarnation: 1, Address: endpoint.Address()}
	qt.Assert(t, platform.Instances().Add(listed, standin.NewInstanceDriver(endpoint, time.Second)), qt.IsNil)
	_, err = pool.NewStore(platform.Table()).Adopt(t.Context(), time.Now(), listed, "desk")
	qt.Assert(t, err, qt.IsNil)

	ip := entryIP()
	s := &entryTarget{
		callers: fmt.Sprintf("%s:%d", ip, callersPort), operators: fmt.Sprintf("%s:%d", ip, operatorsPort),
		metrics: fmt.Sprintf("%s:%d", ip, metricsPort), peers: fmt.Sprintf("%s:%d", ip, peersPort),
	}
	dir := t.TempDir()
	settings := filepath.Join(dir, "entry.yaml")
	text := fmt.Sprintf(`name: north-1
dataCentre: north
listen: {callers: %q, operators: %q, metrics: %q, peers: %q}
platform: {url: 'http://%s', writesPerSecond: 100, readsPerSecond: 600}
limits: {bodyBytes: %d, memoryBytes: %d}
membership: {heartbeat: 200ms}
certificates: {authority: %q, certificate: %q, key: %q}
`, s.callers, s.operators, s.metrics, s.peers, server.Address(), legalBody, memoryMB<<20, certificates.Authority, certificates.Certificate, certificates.Key)
	qt.Assert(t, os.WriteFile(settings, []byte(text), 0o600), qt.IsNil)
	log, err := os.Create(filepath.Join(dir, "log"))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = log.Close() })
	// The shell sets the limit of descriptors of the process that replaces it.
	cmd := exec.Command("sh", "-c", `ulimit -n "$1"; exec "$2" entry --settings "$3"`, "sh", fmt.Sprint(descriptors), program, settings)
	cmd.Stdout, cmd.Stderr = log, log
	qt.Assert(t, cmd.Start(), qt.IsNil)
	s.pid = cmd.Process.Pid
	waited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		s.ended.Store(true)
		close(waited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-waited
	})
	for range 300 {
		if response, err := http.Get("http://" + s.callers + "/ready"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				watchFiles(t, s.pid, &s.peakFiles)
				return s
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	text2, _ := os.ReadFile(log.Name())
	t.Fatalf("the entry instance is not ready:\n%s", text2)
	return nil
}

// TestEntrySingleBodyAtLimit guards against a limit of the memory that a single caller with the largest body meets in calm.
func TestEntrySingleBodyAtLimit(t *testing.T) {
	s := startEntry(t, devcert.Files{})
	body := strings.Repeat("x", legalBody)
	response, err := http.Post("http://"+s.callers+"/work/flags/red", "text/plain", strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%.200s", answer))
	qt.Assert(t, string(answer), qt.Equals, body)
}

// Ports of the entry instance, which has an IP address of its own.
const (
	callersPort = 8110 + iota
	operatorsPort
	peersPort
	metricsPort
)

// entryIP returns a loopback address that no other process uses, so that its ports are free.
func entryIP() string {
	return fmt.Sprintf("127.%d.%d.%d", 200+rand.IntN(50), rand.IntN(250), 1+rand.IntN(250))
}

// check fails the test unless the process lives within its limits and answers an ordinary request.
func (s *entryTarget) check(t *testing.T) {
	t.Helper()
	memory, files := peakMemory(t, s.pid), s.peakFiles.Load()
	t.Logf("%s: peak of memory %d MB of %d, of descriptors %d of %d", t.Name(), memory, memoryMB, files, descriptors)
	if s.ended.Load() {
		t.Error("the process has ended")
	}
	if memory >= memoryMB {
		t.Errorf("the memory reached %d MB of %d", memory, memoryMB)
	}
	if files >= descriptors {
		t.Errorf("%d descriptors of %d were open", files, descriptors)
	}
	status, answer := 0, ""
	for range 10 {
		response, err := http.Post("http://"+s.callers+"/work/flags/red", "text/plain", strings.NewReader("red"))
		if err == nil {
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if status, answer = response.StatusCode, string(body); status == http.StatusOK {
				return
			}
		} else {
			answer = err.Error()
		}
		time.Sleep(500 * time.Millisecond)
	}
	t.Errorf("an ordinary request is answered %d %s", status, answer)
}

// TestEntryCrowds guards against an entry instance that runs out of memory or descriptors, or no longer answers ordinary callers, because
// of a crowd of clients.
func TestEntryCrowds(t *testing.T) {
	callers := func(s *entryTarget) string { return s.callers }
	operators := func(s *entryTarget) string { return s.operators }
	metrics := func(s *entryTarget) string { return s.metrics }
	const work, apply = "POST /work/flags/red HTTP/1.1\r\nHost: e\r\n", "POST /operator/apply HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer k\r\n"
	tests := map[string]struct {
		address func(*entryTarget) string
		send    func(*client)
	}{
		"heads without end":       {callers, sendLines},
		"empty lines without end": {callers, (*client).sendEmptyLines},
		"many fields, body short": {callers, func(c *client) { c.send([]byte(work + manyFields() + "Content-Length: 10\r\n\r\n{")) }},
		"bodies, whole":           {callers, shape{request: work, size: legalBody}.sender()},
		"bodies, again":           {callers, shape{request: work, size: legalBody, again: true}.sender()},
		"bodies, in pieces":       {callers, shape{request: work, size: legalBody, slow: true}.sender()},
		"bodies, short":           {callers, shape{request: work, size: legalBody, short: true}.sender()},
		"large chunks, short":     {callers, shape{request: work, size: legalBody, chunk: 65536, short: true}.sender()},
		"one-byte chunks, short":  {callers, shape{request: work, size: smallBody, chunk: 1, short: true}.sender()},
		"operators, heads":        {operators, sendLines},
		"operators, bodies":       {operators, shape{request: apply, size: operatorBody, short: true}.sender()},
		"metrics, heads":          {metrics, sendLines},
		"metrics, compressed": {metrics, func(c *client) {
			c.repeat([]byte("GET /metrics HTTP/1.1\r\nHost: m\r\nAccept-Encoding: gzip\r\n\r\n"))
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := startEntry(t, devcert.Files{})
			attackAddress(test.address(s), crowd, test.send)
			s.check(t)
		})
	}
}
