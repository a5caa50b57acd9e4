package series

import (
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/margins"
	"github.com/chivetiller/chivetiller/internal/soak/promises"
	"github.com/chivetiller/chivetiller/internal/soak/world"
)

// maxShown is the number of violations of a promise that a report shows.
const maxShown = 10

// Report is what a play has shown.
type Report struct {
	Seed           uint64
	Nodes, Workers int
	Duration       time.Duration
	Faults         []Fault
	NotCaused      []string
	// Accepted is the number of accepted jobs, Answers the number of answers with each status, and Ends the number of runs with each end.
	Accepted int
	Answers  map[int]int
	Ends     map[promises.How]int
	// OwnEnds is the number of processes that have ended by themselves.
	OwnEnds  int
	Verdicts []promises.Verdict
	// Margins tells how near the tasks that last came to a broken promise.
	Margins margins.Play
	// Cause says why the seed once failed, if it did.
	Cause string
}

func (r *Report) finish(w *world.World, l *load) error {
	r.Verdicts = promises.Check(w.History(), promises.DefaultBounds())
	r.OwnEnds = w.OwnEnds()
	r.Accepted = len(l.accepted)
	r.Answers = w.Answers()
	r.Ends = make(map[promises.How]int)
	for _, run := range w.Observed() {
		how := run.How
		if run.Ended.IsZero() {
			how = "at work"
		}
		r.Ends[how]++
	}
	r.Cause = regressions[r.Seed]
	names, err := filepath.Glob(filepath.Join(l.options.Directory, "*.log"))
	if err != nil {
		return err
	}
	var logs margins.Log
	for _, name := range names {
		if err := logs.ReadFile(name, w.History().Start()); err != nil {
			return err
		}
	}
	r.Margins = margins.Of(w.History(), promises.DefaultBounds(), &logs)
	return nil
}

// Held reports whether no promise was broken.
func (r *Report) Held() bool {
	return r.OwnEnds == 0 && !slices.ContainsFunc(r.Verdicts, func(v promises.Verdict) bool { return len(v.Violations) > 0 })
}

// String returns the report for an operator.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d processes, %d workers, load for %s\n", r.Seed, r.Nodes, r.Workers, r.Duration)
	if r.Cause != "" {
		fmt.Fprintf(&b, "  regression: %s\n", r.Cause)
	}
	fmt.Fprintf(&b, "  faults:\n")
	for _, f := range r.Faults {
		fmt.Fprintf(&b, "    %s\n", f)
	}
	for _, text := range r.NotCaused {
		fmt.Fprintf(&b, "    not caused: %s\n", text)
	}
	fmt.Fprintf(&b, "  clients: %d jobs accepted; answers:", r.Accepted)
	for _, status := range slices.Sorted(maps.Keys(r.Answers)) {
		if status == 0 {
			fmt.Fprintf(&b, " none %d", r.Answers[status])
			continue
		}
		fmt.Fprintf(&b, " %d: %d", status, r.Answers[status])
	}
	fmt.Fprintf(&b, "\n  workers: runs:")
	for _, how := range slices.Sorted(maps.Keys(r.Ends)) {
		fmt.Fprintf(&b, " %s %d", how, r.Ends[how])
	}
	fmt.Fprintf(&b, "\n  promises:\n")
	for _, v := range r.Verdicts {
		fmt.Fprintf(&b, "    %-18s checked %5d times, broken %d\n", v.Promise, v.Checked, len(v.Violations))
		for _, violation := range v.Violations[:min(len(v.Violations), maxShown)] {
			fmt.Fprintf(&b, "      %s: %s\n", violation.At.Format("15:04:05.000"), violation.Text)
		}
	}
	fmt.Fprintf(&b, "  margins: %s", r.Margins)
	if r.OwnEnds > 0 {
		fmt.Fprintf(&b, "  %d processes ended by themselves\n", r.OwnEnds)
	}
	verdict := "held"
	if !r.Held() {
		verdict = "BROKEN"
	}
	fmt.Fprintf(&b, "  verdict: %s\n", verdict)
	return b.String()
}

// Unchecked returns the promises that none of the plays has checked.
func Unchecked(reports []*Report) []promises.Promise {
	checked := make(map[promises.Promise]bool)
	for _, r := range reports {
		for _, v := range r.Verdicts {
			checked[v.Promise] = checked[v.Promise] || v.Checked > 0
		}
	}
	return slices.DeleteFunc(promises.Names(), func(p promises.Promise) bool { return checked[p] })
}

// Summary returns the margins by reason, and how often each promise was checked and broken, in all plays.
func Summary(reports []*Report) string {
	var b strings.Builder
	var all []margins.Margin
	for _, r := range reports {
		all = append(all, r.Margins.Margins...)
	}
	fmt.Fprintf(&b, "all seeds:\n  margins of tasks that last, by reason:\n%s  promises:\n", margins.ByReason(all))
	for i, name := range promises.Names() {
		checked, broken := 0, 0
		for _, r := range reports {
			checked += r.Verdicts[i].Checked
			broken += len(r.Verdicts[i].Violations)
		}
		fmt.Fprintf(&b, "    %-18s checked %6d times, broken %d\n", name, checked, broken)
	}
	return b.String()
}
