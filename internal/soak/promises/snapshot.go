package promises

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// snapshot is a copy of a history that does not change, with what the checks look up.
type snapshot struct {
	start          time.Time
	now, loadEnded moment
	calls          []call
	runs           []run
	lives          []life
	configurations []configuration
	incarnations   []incarnation
	// disruptions are in the order of their beginnings, with the stops and starts of processes and the ends of workers.
	disruptions []disruption

	jobs    map[string]*submitted
	byTask  map[Task][]*run
	byJob   map[string][]*run
	workers map[string]bool
	// frozen holds the times in which each worker is frozen.
	frozen map[string][]disruption
}

// submitted is a job with the calls about it.
type submitted struct {
	Job
	key                  string
	calls                []*call
	sent, accepted       moment
	cancelSent, canceled moment
	// refused means that all attempts at submitting it have been rejected.
	refused bool
}

func (h *History) snapshot() *snapshot {
	h.mu.Lock()
	s := &snapshot{
		start: h.start, now: h.clock().Sub(h.start), loadEnded: h.loadEnded,
		calls: copyAll(h.calls), runs: copyAll(h.runs), lives: copyAll(h.lives), configurations: copyAll(h.configurations),
		incarnations: copyAll(h.incarnations), disruptions: copyAll(h.disruptions),
		jobs: make(map[string]*submitted), byTask: make(map[Task][]*run), byJob: make(map[string][]*run), workers: make(map[string]bool), frozen: make(map[string][]disruption),
	}
	for i := range s.lives {
		s.lives[i].lapses = slices.Clone(s.lives[i].lapses)
	}
	h.mu.Unlock()
	slices.SortStableFunc(s.configurations, func(x, y configuration) int { return cmp.Compare(x.Version, y.Version) })
	for i := range s.calls {
		s.addCall(&s.calls[i])
	}
	for i := range s.runs {
		r := &s.runs[i]
		s.byTask[r.Task] = append(s.byTask[r.Task], r)
		s.byJob[r.Task.Job] = append(s.byJob[r.Task.Job], r)
	}
	for _, l := range s.lives {
		s.workers[l.ID] = true
		if l.ended < never && !l.left {
			s.disruptions = append(s.disruptions, disruption{kind: gone, target: l.ID, begun: l.ended, ended: l.ended})
		}
	}
	s.addProcesses()
	slices.SortStableFunc(s.disruptions, func(x, y disruption) int { return cmp.Compare(x.begun, y.begun) })
	for _, d := range s.disruptions {
		if d.kind == Frozen {
			s.frozen[d.target] = append(s.frozen[d.target], d)
		}
	}
	return s
}

func copyAll[T any](from []*T) []T {
	list := make([]T, 0, len(from))
	for _, p := range from {
		list = append(list, *p)
	}
	return list
}

func (s *snapshot) addCall(c *call) {
	if c.kind == plainCall {
		return
	}
	j, ok := s.jobs[c.id]
	if !ok {
		j = &submitted{sent: never, accepted: never, cancelSent: never, canceled: never, refused: true}
		s.jobs[c.id] = j
	}
	j.calls = append(j.calls, c)
	success := c.answer.Status/100 == 2
	switch c.kind {
	case submitCall:
		if c.begun < j.sent {
			j.Job, j.key, j.sent = c.job, c.key, c.begun
		}
		if success {
			j.accepted = min(j.accepted, c.ended)
		}
		j.refused = j.refused && isRejected(c.answer.Status)
	case cancelCall:
		j.cancelSent = min(j.cancelSent, c.begun)
		if success {
			j.canceled = min(j.canceled, c.ended)
		}
	}
}

// isRejected reports whether a status means that a call had no effect.
func isRejected(status int) bool { return status == 429 || status == 503 || status/100 == 4 }

// addProcesses adds the stops and starts of processes to the disruptions.
func (s *snapshot) addProcesses() {
	for i, p := range s.incarnations {
		s.disruptions = append(s.disruptions, disruption{kind: started, target: p.process, begun: p.begun, ended: p.begun})
		next := never
		for _, q := range s.incarnations[i+1:] {
			if q.process == p.process {
				next = q.begun
				break
			}
		}
		if p.stopped < never {
			s.disruptions = append(s.disruptions, disruption{kind: Planned, target: p.process, begun: p.stopped, ended: next})
		} else if p.ended < never {
			s.disruptions = append(s.disruptions, disruption{kind: Killed, target: p.process, begun: p.ended, ended: next})
		}
	}
}

// quiet reports whether no disruption of the given ones falls into a span.
func (s *snapshot) quiet(from, to moment, covers func(d disruption) bool) bool {
	return !slices.ContainsFunc(s.disruptions, func(d disruption) bool { return d.begun <= to && d.ended >= from && covers(d) })
}

// stretches returns the parts of a span in which no disruption was in the given time before.
func (s *snapshot) stretches(from, to moment, before time.Duration) [][2]moment {
	var parts [][2]moment
	for _, d := range s.disruptions {
		if d.begun > from {
			parts = append(parts, [2]moment{from, min(d.begun, to)})
		}
		from = max(from, d.ended+before)
	}
	parts = append(parts, [2]moment{from, to})
	return slices.DeleteFunc(parts, func(p [2]moment) bool { return p[0] >= p[1] })
}

// inTouch reports whether a process was in touch at all times of a span.
func (s *snapshot) inTouch(process string, from, to moment, b Bounds) bool {
	return s.quiet(from-b.Contact, to, func(d disruption) bool {
		return (d.target == process || d.target == Store) && d.kind != Reload
	})
}

// allInTouch reports whether all processes were in touch, and the worker was reached.
func (s *snapshot) allInTouch(worker string, at moment, b Bounds) bool {
	return s.quiet(at-b.Contact, at, func(d disruption) bool {
		return (!s.workers[d.target] || d.target == worker) && d.kind != Reload && d.kind != Maintenance
	})
}

// step returns the job and the step of a task. It is nil if no client has submitted them.
func (s *snapshot) step(t Task) (*submitted, *Step) {
	j, ok := s.jobs[t.Job]
	if !ok || t.Step < 0 || t.Step >= len(j.Steps) {
		return nil, nil
	}
	return j, &j.Steps[t.Step]
}

// runsOf returns the runs of a task, or those of all members of its gang.
func (s *snapshot) runsOf(t Task, step *Step) []*run {
	if !step.Gang {
		return s.byTask[t]
	}
	var runs []*run
	for t.Index = range step.Count {
		runs = append(runs, s.byTask[t]...)
	}
	return runs
}

// doneAt returns when a task, or a member of its gang, first ended as done.
func (s *snapshot) doneAt(t Task, step *Step) moment {
	at := never
	for _, r := range s.runsOf(t, step) {
		if r.how == Done {
			at = min(at, r.ended)
		}
	}
	return at
}

// acknowledged reports whether the end of a run was acknowledged before the lease of its worker lapsed.
func (s *snapshot) acknowledged(r *run) bool {
	if r.acked == never {
		return false
	}
	l := s.lifeOf(r)
	return l == nil || !slices.ContainsFunc(l.lapses, func(at moment) bool { return at >= r.ended && at <= r.acked })
}

func (s *snapshot) lifeOf(r *run) *life {
	for i := range s.lives {
		if s.lives[i].ID == r.Worker && s.lives[i].Life == r.Life {
			return &s.lives[i]
		}
	}
	return nil
}

// active returns the spans in which a run is at work. A frozen worker does nothing until it has noticed that its leases have expired.
func (s *snapshot) active(r *run) [][2]moment {
	const thaw = 300 * time.Millisecond
	from := r.begun
	var spans [][2]moment
	for _, d := range s.frozen[r.Worker] {
		if d.begun >= r.ended || d.ended <= from {
			continue
		}
		if d.begun > from {
			spans = append(spans, [2]moment{from, d.begun})
		}
		from = d.ended + thaw
	}
	if from < r.ended {
		spans = append(spans, [2]moment{from, r.ended})
	}
	return spans
}

// attempts returns the lowest and the highest number of attempts that a configuration gave a queue.
func (s *snapshot) attempts(queue string) (lowest, highest int) {
	for _, c := range s.configurations {
		if q, ok := c.Queues[queue]; ok {
			if lowest == 0 || q.Attempts < lowest {
				lowest = q.Attempts
			}
			highest = max(highest, q.Attempts)
		}
	}
	return lowest, highest
}

// teamOf returns the name of the team that a key belongs to.
func (s *snapshot) teamOf(key string) string {
	for _, c := range s.configurations {
		for name, team := range c.Teams {
			if slices.Contains(team.Keys, key) {
				return name
			}
		}
	}
	return ""
}

// describe lists the calls about a job in order.
func (j *submitted) describe() string {
	const most = 12
	var text strings.Builder
	for i, c := range j.calls {
		if i == most {
			fmt.Fprintf(&text, ", and %d more", len(j.calls)-most)
			break
		}
		if i > 0 {
			text.WriteString(", ")
		}
		fmt.Fprintf(&text, "%s at %s from %s: %d %s", [...]string{"submit", "cancel", "ask", "call"}[c.kind], c.process, c.begun, c.answer.Status, c.answer.State)
	}
	return text.String()
}
