package timeline

import (
	"fmt"
	"strconv"
	"strings"
)

// severalStarts is the beginning of a line about several starts, whose runs are in the field "starts".
const severalStarts = "Tasks are started."

// Start is the start of a run, in a log line about several of them.
type Start struct {
	// Index is the index of the task in its step.
	Index  int
	Run    int
	Worker string
}

// FormatStarts returns the value of the field "starts", for example "0:1@w7 1:1@w8" for the first runs of two tasks.
func FormatStarts(starts []Start) string {
	var b []byte
	for i, s := range starts {
		if i > 0 {
			b = append(b, ' ')
		}
		b = strconv.AppendInt(b, int64(s.Index), 10)
		b = append(b, ':')
		b = strconv.AppendInt(b, int64(s.Run), 10)
		b = append(b, '@')
		b = append(b, s.Worker...)
	}
	return string(b)
}

// Split returns an event for each run of a line about several starts, worded as the line about one start. It returns other events unchanged.
func (e Event) Split() []Event {
	if !strings.HasPrefix(e.Text, severalStarts) {
		return []Event{e}
	}
	var events []Event
	for _, start := range strings.Fields(e.Field("starts")) {
		task, worker, _ := strings.Cut(start, "@")
		index, run, _ := strings.Cut(task, ":")
		one := e
		one.Text = fmt.Sprintf("Task is started.: node=%s job=%s task=%s.%s.%s run=%s worker=%s cpu=%s fence=%s", e.Node, e.Field("job"),
			e.Field("occurrence"), e.Field("step"), index, run, worker, e.Field("cpu"), e.Field("fence"))
		events = append(events, one)
	}
	return events
}
