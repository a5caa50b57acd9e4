package crowdtest

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/soak/world"
)

// Limits in the settings of the process. They are lower than those of a deployment, so that a small crowd exceeds them.
const (
	memoryMB    = 96
	descriptors = 600
	// manyDescriptors leaves the memory as the limit that the crowd exceeds.
	manyDescriptors = 1400
)

// Crowd and limits of a large play, which takes as many connections as a machine of a deployment has descriptors.
const (
	largeCrowd       = 4000
	largeMemoryMB    = 184
	largeDescriptors = 4100
	ordinaryCallers  = 16
)

var large = flag.Bool("large", false, "play a crowd of 4,000 connections at the limits of a deployment, beside ordinary callers")

var program string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chivetiller-crowds-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "chivetiller")
	if out, err := exec.Command("go", "build", "-o", program, "github.com/chivetiller/chivetiller").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build the program: %v: %s", err, out))
	}
	return m.Run()
}

// target is a process that a crowd calls.
type target struct {
	w                     *world.World
	node                  *world.Node
	pid                   int
	memoryMB, descriptors int64
	// peakFiles is the largest number of open descriptors that was seen.
	peakFiles atomic.Int64
}

func startTarget(t *testing.T, memoryMB, descriptors int) *target {
	t.Helper()
	w, err := world.New(world.Options{Program: program, Record: io.Discard, Directory: t.TempDir(), MemoryMB: memoryMB, Descriptors: descriptors})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(w.Close)
	w.Configure([]string{"desk"}, world.NewQueue("q", "desk", 3))
	qt.Assert(t, w.StartNodes(), qt.IsNil)
	n := w.Nodes()[0]
	s := &target{w: w, node: n, pid: n.PID(), memoryMB: int64(memoryMB), descriptors: int64(descriptors)}
	watchFiles(t, s.pid, &s.peakFiles)
	return s
}

// watchFiles follows the largest number of open descriptors of a process until the test ends.
func watchFiles(t *testing.T, pid int, peak *atomic.Int64) {
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
					peak.Store(max(peak.Load(), int64(len(files))))
				}
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-stopped })
}

// peakMemory returns the peak of the resident memory of a process in MB.
func peakMemory(t *testing.T, pid int) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	qt.Assert(t, err, qt.IsNil, qt.Commentf("the process has ended"))
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			qt.Assert(t, err, qt.IsNil)
			return kilobytes >> 10
		}
	}
	t.Fatal("the peak of the memory is not known")
	return 0
}

// check fails the test unless the process lives within its limits and answers an ordinary request.
func (s *target) check(t *testing.T) {
	t.Helper()
	memory := peakMemory(t, s.pid)
	files := s.peakFiles.Load()
	t.Logf("%s: peak of memory %d MB of %d, of descriptors %d of %d", t.Name(), memory, s.memoryMB, files, s.descriptors)
	if s.w.OwnEnds() > 0 {
		t.Errorf("%d processes have ended", s.w.OwnEnds())
	}
	if memory >= s.memoryMB {
		t.Errorf("the memory reached %d MB of %d", memory, s.memoryMB)
	}
	if files >= s.descriptors {
		t.Errorf("%d descriptors of %d were open", files, s.descriptors)
	}
	s.submit(t)
}

// ordinary are callers beside a crowd that keep their connections open.
type ordinary struct {
	stop chan struct{}
	done sync.WaitGroup
	// answered and refused count the requests of each caller. The others got no answer.
	answered, refused, sent [ordinaryCallers]int
}

func (s *target) startOrdinary() *ordinary {
	o := &ordinary{stop: make(chan struct{})}
	for i := range ordinaryCallers {
		o.done.Go(func() {
			client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for ticker := time.NewTicker(50 * time.Millisecond); ; {
				select {
				case <-o.stop:
					return
				case <-ticker.C:
				}
				o.sent[i]++
				request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/q/%016x", s.node.Front(), 0x10000+i*1000+o.sent[i]), strings.NewReader(jobBody))
				if err != nil {
					panic(err)
				}
				request.Host = "jobs.example"
				request.Header.Set("X-Api-Key", "key-of-tenant-a")
				response, err := client.Do(request)
				if err != nil {
					continue
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					o.answered[i]++
				} else {
					o.refused[i]++
				}
			}
		})
	}
	return o
}

// check fails the test if a caller got no answer.
func (o *ordinary) check(t *testing.T) {
	t.Helper()
	close(o.stop)
	o.done.Wait()
	answered, refused, sent := 0, 0, 0
	for i := range ordinaryCallers {
		answered, refused, sent = answered+o.answered[i], refused+o.refused[i], sent+o.sent[i]
		if o.answered[i] == 0 {
			t.Errorf("ordinary caller %d got no answer to %d requests", i, o.sent[i])
		}
	}
	t.Logf("%s: ordinary callers got %d answers and %d refusals to %d requests", t.Name(), answered, refused, sent)
}

const jobBody = `{"spec":"run 10","steps":[{"count":1,"cpu":1000,"mem_mb":64,"est_ms":10}]}`

// submit submits a job as an ordinary client does, which tries again when it is refused.
func (s *target) submit(t *testing.T) {
	t.Helper()
	status, answer := 0, ""
	for range 10 {
		if status, answer = s.w.Call(http.MethodPost, s.node, "/q/00000000000000aa", jobBody); status == http.StatusOK {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	t.Errorf("an ordinary request is answered %d %s", status, answer)
}
