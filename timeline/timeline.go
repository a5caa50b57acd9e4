// Package timeline gathers the log lines of several processes about one job and finds the first cause of its failure.
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

// maxLine bounds a log line. Longer ones are no lines of this program.
const maxLine = 1 << 20

// line is what the logger of the process writes. A collector may put something before it.
var line = regexp.MustCompile(`(\d{4}-\d\d-\d\dT[\d:.]+Z) \[(DEBUG|INFO|WARN|ERROR)\]\s+([\w.]+): (.*)$`)

// Event is a log line about the job, or about something that the job depended on.
type Event struct {
	At    time.Time
	Level string
	Part  string
	Text  string
	// Node is the process that wrote the line.
	Node string
	// Job means that the line names the job itself.
	Job bool
}

// Timeline holds the events of one job.
type Timeline struct {
	id     string
	events []Event
	// workers holds the workers that the lines of the job name.
	workers map[string]bool
	others  []Event
}

// New returns an empty timeline of a job.
func New(id string) *Timeline { return &Timeline{id: id, workers: make(map[string]bool)} }

// Read takes the lines of a log. Lines of other programs are passed over.
func (t *Timeline) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if e, ok := parse(scanner.Text()); ok {
			t.take(e)
		}
	}
	return eris.Wrap(scanner.Err(), "read the log")
}

func parse(text string) (Event, bool) {
	m := line.FindStringSubmatch(text)
	if m == nil {
		return Event{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, m[1])
	if err != nil {
		return Event{}, false
	}
	return Event{At: at, Level: m[2], Part: m[3], Text: m[4], Node: field(m[4], "node")}, true
}

// field returns the value of a field of a line.
func field(text, name string) string {
	_, rest, ok := strings.Cut(text, " "+name+"=")
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, " ")
	return strings.Trim(value, `"`)
}

func (t *Timeline) take(e Event) {
	if field(e.Text, "job") == t.id {
		e.Job = true
		t.events = append(t.events, e)
		if w := field(e.Text, "worker"); w != "" {
			t.workers[w] = true
		}
		return
	}
	// Lines about workers, duties and the store explain what happened to a job; those about other jobs do not.
	if field(e.Text, "job") == "" {
		t.others = append(t.others, e)
	}
}

// Events returns the events in the order of time, with those about the workers of the job and the duty in between.
func (t *Timeline) Events() []Event {
	if len(t.events) == 0 {
		return nil
	}
	events := slices.Clone(t.events)
	byTime := func(a, b Event) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Node, b.Node)) }
	slices.SortStableFunc(events, byTime)
	first, last := events[0].At, events[len(events)-1].At
	for _, e := range t.others {
		if e.At.Before(first) || e.At.After(last) {
			continue
		}
		if t.workers[field(e.Text, "worker")] || strings.HasPrefix(e.Text, "Duty ") {
			events = append(events, e)
		}
	}
	slices.SortStableFunc(events, byTime)
	return events
}

// Cause returns the index of the first event that explains a failure or delay: a warning, or an end that is not "done".
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
		return eris.Errorf("no log line names job %q", t.id)
	}
	cause, found := Cause(events)
	for i, e := range events {
		mark := " "
		if found && i == cause {
			mark = ">"
		}
		if _, err := fmt.Fprintf(w, "%s %9.3f s  %-5s %-18s %s\n", mark, e.At.Sub(events[0].At).Seconds(), e.Level, e.Node, e.Text); err != nil {
			return eris.Wrap(err, "write the timeline")
		}
	}
	if !found {
		_, err := fmt.Fprintln(w, "No line tells of a fault.")
		return eris.Wrap(err, "write the timeline")
	}
	return nil
}
