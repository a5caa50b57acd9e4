package margins

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/internal/soak/promises"
	"github.com/chivetiller/chivetiller/timeline"
)

const (
	// maxLineBytes is the maximum length of a line.
	maxLineBytes = 1 << 20
	// loggedAfter is the time after which the leader has logged that a task does not run.
	loggedAfter = 5 * time.Second
)

var (
	// playTime matches what a bench writes before the line of a process: the time since the start of the traffic, and the process.
	playTime = regexp.MustCompile(`(-?\d+\.\d+) [\w-]+ $`)
	// happened matches a disruption in the summary of a bench.
	happened = regexp.MustCompile(`^\s+(-?\d+\.\d+) s to\s+(-?\d+\.\d+) s\s+(\w+)`)
)

// Log holds the log lines of the processes of a play, and the disruptions that a bench tells of.
type Log struct {
	lines       []line
	disruptions []promises.Span
	// replayed means that the runs come from these lines, and told that the leader logs all tasks of services that do not run for long.
	replayed, told bool
	// seen holds the tasks of which a line says whether they run, and startsMissing is the number of runs with a line of their end only.
	seen          map[promises.Task]bool
	startsMissing int
}

type line struct {
	at time.Duration
	timeline.Event
}

// is reports whether a line has one of the given messages.
func (l line) is(messages ...string) bool {
	return slices.ContainsFunc(messages, func(m string) bool { return strings.HasPrefix(l.Text, m) })
}

// task returns the name of the task of a line.
func (l line) task() string { return l.Field("job") + "." + l.Field("task") }

// value returns the value of a field, and the zero value if the line does not have it.
func value[T any](l line, name string, parse func(string) (T, error)) (v T) {
	if parsed, err := parse(l.Field(name)); err == nil {
		v = parsed
	}
	return v
}

// undisturbing holds the kinds of a bench that take nothing away from processes, workers or the store: planned work and traffic.
var undisturbing = []string{"wave", "burst", "hot_key", "hot_tenant", "give_up", "poison"}

// Read adds the lines of a log. Their times count from a start, or are those that a bench has put before them, which may be below 0.
func (l *Log) Read(r io.Reader, start time.Time) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var at time.Duration
	benched := false
	for scanner.Scan() {
		text := scanner.Text()
		if m := happened.FindStringSubmatch(text); m != nil {
			l.addDisruption(seconds(m[1]), seconds(m[2]), m[3])
		}
		event, ok := timeline.Parse(text)
		if m := playTime.FindStringSubmatch(event.Prefix); m != nil {
			at, benched = seconds(m[1]), true
		} else if !benched {
			at = event.Time.Sub(start)
		}
		// The log of an earlier play with the same files is before the start.
		if ok && (benched || at >= 0) {
			for _, one := range event.Split() {
				l.lines = append(l.lines, line{at, one})
			}
		}
	}
	slices.SortStableFunc(l.lines, func(x, y line) int { return cmp.Compare(x.at, y.at) })
	return eris.Wrap(scanner.Err(), "read the log")
}

// ReadFile adds the lines of a file, or takes the disruptions from it if it is the report of a bench.
func (l *Log) ReadFile(name string, start time.Time) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	if !bytes.HasPrefix(data, []byte("{")) {
		return l.Read(bytes.NewReader(data), start)
	}
	var report struct {
		Events []struct {
			From json.Number `json:"at_s"`
			To   json.Number `json:"to_s"`
			Kind string      `json:"kind"`
		} `json:"events"`
	}
	if err := json.Unmarshal(data, &report); err != nil {
		return eris.Wrap(err, "read the report")
	}
	for _, e := range report.Events {
		l.addDisruption(seconds(e.From.String()), seconds(e.To.String()), e.Kind)
	}
	return nil
}

func (l *Log) addDisruption(from, to time.Duration, kind string) {
	if !slices.Contains(undisturbing, kind) {
		l.disruptions = append(l.disruptions, promises.Span{From: from, To: to})
	}
}

// seconds returns the duration of a number of seconds, and 0 if it is none.
func seconds(text string) time.Duration {
	d, err := time.ParseDuration(text + "s")
	if err != nil {
		return 0
	}
	return d
}

// Messages of the leader about runs, and about a task of a service without one.
var (
	noRun   = "Task of a service does not run."
	started = "Task is started."
	adopted = "Running task was adopted."
	begins  = []string{started, adopted}
	ends    = []string{"Task has exited.", "Task was lost.", "Start is ruled out."}
)

// reason returns why a task does not run in a span, as the leader says last, and "" if it does not say.
func (l *Log) reason(task string, s promises.Span) (reason string) {
	for _, l := range l.lines {
		if l.at >= s.From && l.at <= s.To && l.is(noRun) && l.task() == task {
			reason = l.Field("reason")
		}
	}
	return reason
}

// isDropped reports whether the line about the start of a task is missing, so that the task seems idle. The leader would have logged that the task
// does not run, unless it took it for running at first. A leader of a build that does not log this counts as if it did if other starts are missing.
func (l *Log) isDropped(t promises.LastingTask, s promises.Span) bool {
	lost := slices.ContainsFunc(t.Runs, func(r promises.Span) bool { return r.From == s.To }) && slices.ContainsFunc(t.Runs, func(r promises.Span) bool { return r.To == s.From })
	return l.replayed && !lost && (l.told || l.startsMissing > 0 || len(t.Runs) == 0) && s.To-s.From > loggedAfter && l.reason(t.Task.String(), s) == ""
}

// endsRun reports whether the leader takes a run for ended with a line. After a start without an answer it may still begin.
func (l line) endsRun() bool {
	return l.is(ends...) || l.is("Start command was not confirmed.") && !slices.Contains([]string{"unknown", "notSent"}, l.Field("outcome"))
}

// beliefs returns the times in which the leader takes each task for running. A leader that takes over begins anew.
func (l *Log) beliefs() map[string][]promises.Span {
	type belief struct{ leader, task string }
	spans := make(map[string][]promises.Span)
	since := make(map[belief]time.Duration)
	end := func(at time.Duration, ends func(b belief) bool) {
		for b, from := range since {
			if ends(b) {
				spans[b.task] = append(spans[b.task], promises.Span{From: from, To: at})
				delete(since, b)
			}
		}
	}
	for _, l := range l.lines {
		this := belief{l.Node, l.task()}
		_, known := since[this]
		switch {
		case l.is(begins...) && !known:
			since[this] = l.at
		case l.endsRun():
			end(l.at, func(b belief) bool { return b == this })
		case l.is("Leadership begins."), l.is("Leadership ends."):
			end(l.at, func(b belief) bool { return l.is("Leadership begins.") || b.leader == l.Node })
		}
	}
	end(l.end(), func(belief) bool { return true })
	return spans
}

// end returns the time of the last line.
func (l *Log) end() time.Duration {
	if len(l.lines) == 0 {
		return 0
	}
	return l.lines[len(l.lines)-1].at
}
