// Package margins tells how near the tasks that last came to a broken promise: to a task that does not run for 3 s in calm time, while there is
// room for it twice over, from 6 s after its last run on. The margin is that bound less the longest time that counts.
//
// # Usage
//
//	var log margins.Log
//	err := log.Read(file, world.History().Start())
//	fmt.Print(margins.Of(world.History(), promises.DefaultBounds(), &log))
//
// What was seen by workers and clients comes from a history, and the reasons of the leader from its log lines. [Log.History] makes a history of
// log lines alone, for plays whose workers keep no record.
package margins

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/promises"
)

// maxShown is the number of margins that are shown of a play.
const maxShown = 5

// notLogged stands for a reason that no log line has: the leader logs it once a task has not run for 3 s, for five tasks a second.
const notLogged = "not logged"

// Play holds the margins of a play.
type Play struct {
	// Tasks is the number of tasks that last.
	Tasks int
	// NotSeen is the number of those of which no log line says whether they run, in a history of log lines.
	NotSeen int
	// StartsMissing is the number of runs in such a history whose end is logged and whose start is not.
	StartsMissing int
	// Margins holds the smallest margin of each of them that has one, the smallest one first.
	Margins []Margin
	// Believed is the longest time for which the leader took a task for running while no worker ran it.
	Believed     time.Duration
	BelievedTask string
}

// Margin tells how near a task came to a broken promise.
type Margin struct {
	Task string
	// Left is the margin. It is below 0 if the task waited for too long, and above the bound if the task always ran again before its time counted.
	Left time.Duration
	// Idle is the time without a run that comes nearest.
	Idle promises.Span
	// Reason is why the task did not run then, as the leader logged it last.
	Reason string
}

// Of returns the margins of a play.
func Of(h *promises.History, b promises.Bounds, l *Log) Play {
	beliefs := l.beliefs()
	tasks := promises.LastingTasks(h, b)
	p := Play{Tasks: len(tasks), StartsMissing: l.startsMissing}
	for _, t := range tasks {
		if l.replayed && !l.seen[t.Task] {
			p.NotSeen++
			continue
		}
		name := t.Task.String()
		for _, belief := range beliefs[name] {
			if d := longestOutside(belief, t.Runs); d > p.Believed {
				p.Believed, p.BelievedTask = d, name
			}
		}
		t.Idle = slices.DeleteFunc(t.Idle, func(i promises.IdleTime) bool { return l.isDropped(t, i.Span) })
		if len(t.Idle) == 0 {
			continue
		}
		nearest := slices.MaxFunc(t.Idle, func(x, y promises.IdleTime) int { return cmp.Compare(x.Counted, y.Counted) })
		p.Margins = append(p.Margins, Margin{Task: name, Left: b.Idle - nearest.Counted, Idle: nearest.Span, Reason: cmp.Or(l.reason(name, nearest.Span), notLogged)})
	}
	slices.SortStableFunc(p.Margins, func(x, y Margin) int { return cmp.Compare(x.Left, y.Left) })
	return p
}

// longestOutside returns the longest part of a span in which there is no run. Runs are in the order of their beginnings.
func longestOutside(s promises.Span, runs []promises.Span) (longest time.Duration) {
	for _, r := range runs {
		if r.To <= s.From {
			continue
		}
		longest = max(longest, min(r.From, s.To)-s.From)
		s.From = max(s.From, r.To)
	}
	return max(longest, s.To-s.From)
}

// String lists the smallest margins.
func (p Play) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d tasks that last, %d of them with a margin", p.Tasks, len(p.Margins))
	if p.NotSeen > 0 {
		fmt.Fprintf(&b, ", %d not seen in the log", p.NotSeen)
	}
	if p.StartsMissing > 0 {
		fmt.Fprintf(&b, "; %d runs without a line of their start", p.StartsMissing)
	}
	b.WriteByte('\n')
	for _, m := range p.Margins[:min(len(p.Margins), maxShown)] {
		fmt.Fprintf(&b, "    margin %7.3f s  task %s idle from %.3f s to %.3f s: %s\n", m.Left.Seconds(), m.Task, m.Idle.From.Seconds(), m.Idle.To.Seconds(), m.Reason)
	}
	if p.Believed > 0 {
		fmt.Fprintf(&b, "    taken for running while no worker ran it: task %s for %.3f s\n", p.BelievedTask, p.Believed.Seconds())
	}
	return b.String()
}

// ByReason lists the number of margins and the smallest one of each reason, the smallest one first.
func ByReason(list []Margin) string {
	counts := make(map[string]int)
	var smallest []Margin
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(x, y Margin) int { return cmp.Compare(x.Left, y.Left) })
	for _, m := range list {
		if counts[m.Reason] == 0 {
			smallest = append(smallest, m)
		}
		counts[m.Reason]++
	}
	var b strings.Builder
	for _, m := range smallest {
		fmt.Fprintf(&b, "    margin %7.3f s  %4d tasks: %s\n", m.Left.Seconds(), counts[m.Reason], m.Reason)
	}
	return b.String()
}
