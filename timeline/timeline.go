// Package timeline collects the log lines of several processes about one job and finds the first cause of its failure or delay.
//
// # Usage
//
//	t := timeline.New("5c0e7a21d94b36f8")
//	if err := t.Read(file); err != nil { ... }
//	t.Write(os.Stdout)
package timeline

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// maxLineBytes is the maximum length of a log line. Longer lines are not from this program.
const maxLineBytes = 1 << 20

// logLine matches a line of the logger of a process. A log collector may have added a prefix. Output that it has read in parts may have the
// beginning of another line in front, which is dropped.
var logLine = regexp.MustCompile(`^(.*)(\d{4}-\d\d-\d\dT[\d:.]+Z) \[(DEBUG|INFO|WARN|ERROR)\]\s+([\w.]+): (.*)$`)

// leadershipPrefixes are the beginnings of the log lines about leadership. Earlier builds wrote "Duty" instead of "Leadership", and
// their logs can still be explained.
var leadershipPrefixes = []string{"Leadership ", "Duty "}

// Event is a log line about the job, or about something that the job depended on.
type Event struct {
	Time      time.Time
	Level     string
	Component string
	Text      string
	// Node is the process that wrote the line.
	Node string
	// Prefix is what a log collector has put before the line.
	Prefix string
	// NamesJob means that the line names the job itself.
	NamesJob bool
}

// Timeline holds the events of one job, and other events that may explain them.
type Timeline struct {
	jobID  string
	events []Event
	// workers holds the workers that are named in lines about the job.
	workers map[string]bool
	others  []Event
}

// New returns an empty timeline of a job.
func New(id string) *Timeline { return &Timeline{jobID: id, workers: make(map[string]bool)} }

// Read adds the lines of a log. It ignores lines of other programs.
func (t *Timeline) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if e, ok := Parse(scanner.Text()); ok {
			t.addEvent(e)
		}
	}
	return eris.Wrap(scanner.Err(), "read the log")
}

// Parse returns the event of a log line. It is false for a line of another program.
func Parse(text string) (Event, bool) {
	m := logLine.FindStringSubmatch(text)
	if m == nil {
		return Event{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, m[2])
	if err != nil {
		return Event{}, false
	}
	return Event{Time: at, Level: m[3], Component: m[4], Text: m[5], Node: field(m[5], "node"), Prefix: m[1]}, true
}

// Field returns the value of a field, and "" if the line does not have it.
func (e Event) Field(name string) string { return field(e.Text, name) }

// field returns the value of a field of a line, and "" if the line does not have the field.
func field(text, name string) string {
	_, rest, ok := strings.Cut(text, " "+name+"=")
	if !ok {
		return ""
	}
	if quoted, ok := strings.CutPrefix(rest, `"`); ok {
		value, _, _ := strings.Cut(quoted, `"`)
		return value
	}
	value, _, _ := strings.Cut(rest, " ")
	return value
}

func (t *Timeline) addEvent(e Event) {
	if field(e.Text, "job") == t.jobID {
		e.NamesJob = true
		t.events = append(t.events, e)
		for _, one := range e.Split() {
			if w := one.Field("worker"); w != "" {
				t.workers[w] = true
			}
		}
		return
	}
	// Lines about workers, leadership and the store may explain what happened to a job; lines about other jobs do not.
	if field(e.Text, "job") == "" {
		t.others = append(t.others, e)
	}
}

// Events returns the events of the job and, between the first and the last of them, those about its workers and about leadership.
// They are sorted by time.
func (t *Timeline) Events() []Event {
	if len(t.events) == 0 {
		return nil
	}
	events := slices.Clone(t.events)
	byTime := func(a, b Event) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Node, b.Node)) }
	slices.SortStableFunc(events, byTime)
	first, last := events[0].Time, events[len(events)-1].Time
	for _, e := range t.others {
		if e.Time.Before(first) || e.Time.After(last) {
			continue
		}
		if t.workers[field(e.Text, "worker")] || aboutLeadership(e.Text) {
			events = append(events, e)
		}
	}
	slices.SortStableFunc(events, byTime)
	return events
}

func aboutLeadership(text string) bool {
	return slices.ContainsFunc(leadershipPrefixes, func(prefix string) bool { return strings.HasPrefix(text, prefix) })
}

// Cause returns the index of the first event that explains a failure or delay: a warning, an error, or an exit whose reason is not
// "done".
func Cause(events []Event) (index int, ok bool) {
	index = slices.IndexFunc(events, func(e Event) bool {
		how := field(e.Text, "how")
		return e.Level == "WARN" || e.Level == "ERROR" || (how != "" && how != "done")
	})
	return index, index >= 0
}

// Write prints the events and marks the first cause.
func (t *Timeline) Write(w io.Writer) error {
	events := t.Events()
	if len(events) == 0 {
		return eris.Errorf("no log line names job %q", t.jobID)
	}
	cause, found := Cause(events)
	for i, e := range events {
		mark := " "
		if found && i == cause {
			mark = ">"
		}
		if _, err := fmt.Fprintf(w, "%s %9.3f s  %-5s %-18s %s\n", mark, e.Time.Sub(events[0].Time).Seconds(), e.Level, e.Node, e.Text); err != nil {
			return eris.Wrap(err, "write the timeline")
		}
	}
	if !found {
		_, err := fmt.Fprintln(w, "No line tells of a fault.")
		return eris.Wrap(err, "write the timeline")
	}
	return nil
}
