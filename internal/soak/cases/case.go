// Package cases runs faults that were found once against the real program. Each case starts processes of it on loopback addresses, stands
// for the platform, its workers, its operator and its clients, causes the fault, and checks a promise from what callers and workers see.
//
// # Usage
//
//	outcome := cases.Run(cases.Options{Case: "many-waves", Program: "target/chivetiller", Record: file, Fault: true})
package cases

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/world"
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

// maxDuration is how long a case may take.
const maxDuration = 110 * time.Second

// threeLeaders is the case in which a zone is cut off.
const threeLeaders = "three-leaders"

// cases lists the cases by name. Each reports whether the promise was broken.
var cases = map[string]func(w *world.World, fault bool) (broken bool, err error){
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
	threeLeaders:             caseThreeLeaders,
	"service-cut-off":        caseCutService,
}

// Names returns the names of the cases in order.
func Names() []string { return slices.Sorted(maps.Keys(cases)) }

// Run runs a case. It starts only processes of the program, and ends them all.
func Run(o Options) Outcome {
	f, ok := cases[o.Case]
	if !ok {
		fmt.Fprintf(o.Record, "there is no case %s\n", o.Case)
		return NotRun
	}
	w, err := world.New(world.Options{Program: o.Program, Record: o.Record, Keep: o.Keep, Zoned: o.Case == threeLeaders})
	if err != nil {
		fmt.Fprintf(o.Record, "case cannot run: %v\n", err)
		return NotRun
	}
	defer w.Close()
	go w.CloseEarly(maxDuration)
	w.Record("case %s, fault %t", o.Case, o.Fault)
	broken, err := f(w, o.Fault)
	switch {
	case err != nil:
		w.Record("case cannot run: %v", err)
		return NotRun
	case broken:
		w.Record("the promise was broken")
		return Broken
	}
	w.Record("the promise held")
	return Held
}
