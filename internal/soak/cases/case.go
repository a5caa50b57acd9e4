// Package cases runs faults that were found once against the real program. Each case starts processes of it on loopback addresses, stands
// for the platform, its workers, its operator and its clients, causes the fault, and checks a promise from what callers and workers see.
//
// # Usage
//
//	outcome := cases.Run(cases.Options{Case: "many-waves", Program: "target/chivetiller", Record: file, Fault: true})
package cases

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Outcome is the outcome of a case.
type Outcome int

// Outcomes, which are also exit codes.
const (
	Held Outcome = iota
	Broken
	NotRun
)

func (o Outcome) String() string {
	return map[Outcome]string{Held: "held", Broken: "broken", NotRun: "not run"}[o]
}

// Options choose a case.
type Options struct {
	// Case is the name of the case.
	Case string
	// Program is the path of the program.
	Program string
	// Record receives what was sent, answered and run.
	Record io.Writer
	// Fault means that the fault is caused. Without it the promise has to hold on any build.
	Fault bool
	// Keep keeps the settings and logs of the processes.
	Keep bool
}

// recorder writes what happens to a file, with the time since the start of the case.
type recorder struct {
	start time.Time

	mu  sync.Mutex
	out io.Writer
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func readJSON(r *http.Request, to any) (size int, err error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err
	}
	return len(data), json.Unmarshal(data, to)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails if the other side has given up.
	_, _ = w.Write(data)
}

// maxDuration is how long a case may take.
const maxDuration = 110 * time.Second

// closeEarly ends all processes when the case is interrupted or takes too long.
func (w *world) closeEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxDuration):
	}
	w.rec.add("case cannot run: it was interrupted or took too long")
	w.close()
	os.Exit(int(NotRun))
}

// cases lists the cases by name. Each reports whether the promise was broken.
var cases = map[string]func(w *world, fault bool) (broken bool, err error){
	"flapping-worker":        caseFlap,
	"leader-killed":          caseParts,
	"leader-paused":          casePaused,
	"leader-restarted":       caseLost,
	"leader-short-of-cpu":    caseSlowLeader,
	"many-waves":             caseWaves,
	"removed-queue":          caseBudget,
	"restart-and-cut":        caseTwice,
	"restart-beside-batches": caseReack,
	"restart-in-silence":     caseAck,
	"service-in-overload":    caseStarve,
	"service-restarts":       caseLasting,
	"task-cut-off":           caseCutTask,
	"three-leaders":          caseThreeLeaders,
	"service-cut-off":        caseCutService,
}

// Names returns the names of the cases in order.
func Names() []string { return slices.Sorted(maps.Keys(cases)) }

// Run runs a case. It starts only processes of the program, and ends them all.
func Run(o Options) Outcome {
	rec := &recorder{start: time.Now(), out: o.Record}
	f, ok := cases[o.Case]
	if !ok {
		rec.add("there is no case %s", o.Case)
		return NotRun
	}
	w, err := newWorld(rec, o)
	if err != nil {
		rec.add("case cannot run: %v", err)
		return NotRun
	}
	defer w.close()
	go w.closeEarly()
	rec.add("case %s, fault %t", o.Case, o.Fault)
	broken, err := f(w, o.Fault)
	switch {
	case err != nil:
		rec.add("case cannot run: %v", err)
		return NotRun
	case broken:
		rec.add("the promise was broken")
		return Broken
	}
	rec.add("the promise held")
	return Held
}
