// Package latestarts remembers the start commands of a worker that got no answer and may be carried out later.
//
// # Usage
//
//	var list latestarts.List
//	list.Add(task, run, now, maxDelay)
//	for _, s := range list.Arriving(now, maxDelay) { ... }
package latestarts

import (
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/work"
)

// Start is a start command that got no answer.
type Start struct {
	Task  work.Task
	Run   int
	since time.Duration
}

// List holds the latest start without an answer of each run. The zero value is an empty list.
type List []Start

// Add records a start of a run, and forgets those that cannot arrive any more: maxDelay is how long a command may take.
func (l *List) Add(task work.Task, run int, now, maxDelay time.Duration) {
	*l = slices.DeleteFunc(l.Arriving(now, maxDelay), func(s Start) bool { return s.Task == task && s.Run == run })
	*l = append(*l, Start{Task: task, Run: run, since: now})
}

// Arriving returns the starts that may still be carried out.
func (l *List) Arriving(now, maxDelay time.Duration) List {
	return slices.DeleteFunc(slices.Clone(*l), func(s Start) bool { return now-s.since >= maxDelay })
}
