package crowdtest

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
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
)

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
	w    *world.World
	node *world.Node
	pid  int
	// peakFiles is the largest number of open descriptors that was seen.
	peakFiles atomic.Int64
}

func startTarget(t *testing.T) *target {
	t.Helper()
	w, err := world.New(world.Options{Program: program, Record: io.Discard, Directory: t.TempDir(), MemoryMB: memoryMB, Descriptors: descriptors})
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(w.Close)
	w.Configure([]string{"desk"}, world.NewQueue("q", "desk", 3))
	qt.Assert(t, w.StartNodes(), qt.IsNil)
	n := w.Nodes()[0]
	s := &target{w: w, node: n, pid: n.PID()}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
				if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.pid)); err == nil {
					s.peakFiles.Store(max(s.peakFiles.Load(), int64(len(files))))
				}
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-stopped })
	return s
}

// peakMemory returns the peak of the resident memory in MB.
func (s *target) peakMemory(t *testing.T) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.pid))
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
	memory := s.peakMemory(t)
	files := s.peakFiles.Load()
	t.Logf("%s: peak of memory %d MB of %d, of descriptors %d of %d", t.Name(), memory, memoryMB, files, descriptors)
	if s.w.OwnEnds() > 0 {
		t.Errorf("%d processes have ended", s.w.OwnEnds())
	}
	if memory >= memoryMB {
		t.Errorf("the memory reached %d MB of %d", memory, memoryMB)
	}
	if files >= descriptors {
		t.Errorf("%d descriptors of %d were open", files, descriptors)
	}
	s.submit(t)
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
