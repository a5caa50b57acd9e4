package margins

import (
	"cmp"
	"strconv"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/promises"
)

const (
	// lastingAfter is how long a run lasts at least for its job to be taken for a service, in logs that do not tell.
	lastingAfter = 10 * time.Second
	// sameCause is the longest time from the line about a worker to the lines about its runs.
	sameCause = 100 * time.Millisecond
	// runsPerTerm separates the run numbers of successive leaders, which begin at 1, 1001 and so on.
	runsPerTerm = 1000
	// never is the beginning of a run that has ended, and later than all times.
	never = time.Duration(1 << 62)
)

// loggedJob is a job as the log tells of it.
type loggedJob struct {
	id, queue, team string
	accepted        time.Duration
	// told means that the log tells whether it is a service, and over that it has ended by itself, as a service does not.
	told, service, over bool
	serviceTasks        int
	steps               []loggedStep
}

// loggedStep is a step of a job. Its width is the highest index of a task, and together the most tasks at a time on one worker.
type loggedStep struct {
	width, together, cpu int
}

// loggedWorker is a worker as the log tells of it.
type loggedWorker struct {
	promises.Worker
	listed bool
	// heard is when the worker was last heard of, by the line at told.
	heard, told time.Duration
	// running counts the tasks that run there, by their steps: tasks without an index.
	running map[promises.Task]int
}

// replay makes a history of log lines.
type replay struct {
	*promises.History
	now     time.Duration
	jobs    map[string]*loggedJob
	workers map[string]*loggedWorker
	begun   map[promises.Run]time.Duration
	// firstStarts holds the tasks whose first start is logged, seen those of which a line says whether they run, and ended when each was last
	// known to end.
	firstStarts, seen map[promises.Task]bool
	ended             map[promises.Task]time.Duration
	// open holds the latest run of each task, until it ends.
	open  map[promises.Task]*openRun
	pools map[string]promises.Queue
	// startsMissing counts the runs whose end is logged and whose start is not.
	startsMissing int
}

// openRun is a run whose end is not logged so far. The task has been said not to run since idleSince, or never.
type openRun struct {
	run       promises.Run
	idleSince time.Duration
}

// History returns what the log tells of jobs, runs and workers. It is what the leader has logged of the answers of workers, so that a run counts
// as ended when its worker was last heard of, and a worker as sound from its first line to its last one. A task counts as running before the first
// line that tells whether it runs, unless its first start is logged. Labels and limits of teams are not logged and count as met.
func (l *Log) History() *promises.History {
	r := &replay{
		jobs: make(map[string]*loggedJob), workers: make(map[string]*loggedWorker), begun: make(map[promises.Run]time.Duration),
		firstStarts: l.firstStarts(), seen: make(map[promises.Task]bool), ended: make(map[promises.Task]time.Duration),
		open: make(map[promises.Task]*openRun), pools: make(map[string]promises.Queue),
	}
	r.History = promises.NewHistoryAt(time.Time{}, func() time.Time { return time.Time{}.Add(r.now) })
	for _, line := range l.lines {
		r.now = line.at
		r.add(line)
		l.told = l.told || line.Field("serviceTasks") != ""
	}
	for task, o := range r.open {
		if o.idleSince < never {
			r.endOpen(task, never)
		}
	}
	for run, begun := range r.begun {
		r.inferService(run.Task.Job, l.end()-begun)
	}
	for _, j := range r.jobs {
		r.submit(j)
	}
	r.now = -time.Hour
	r.Configure(promises.Configuration{Version: 1, Queues: r.pools})()
	for _, d := range l.disruptions {
		r.now = d.From
		ended := r.Disrupt("", "bench")
		r.now = d.To
		ended()
	}
	r.now, l.replayed, l.seen, l.startsMissing = l.end(), true, r.seen, r.startsMissing
	return r.History
}

// firstStarts returns the tasks whose first start is logged. That is certain of the first leader, and of one that leads since before the job was
// accepted.
func (l *Log) firstStarts() map[promises.Task]bool {
	tasks := make(map[promises.Task]bool)
	accepted := make(map[string]time.Duration)
	terms := make(map[int]time.Duration)
	for _, l := range l.lines {
		if l.is("Job is accepted.") {
			accepted[l.Field("job")] = l.at
		} else if l.is("Leadership begins.") {
			terms[value(l, "tenure", strconv.Atoi)] = l.at
		}
		task, err := promises.ParseTask(l.task())
		number := value(l, "run", strconv.Atoi) - 1
		if err != nil || !l.is(started) || number%runsPerTerm != 0 {
			continue
		}
		term := number/runsPerTerm + 1
		begun, told := terms[term]
		at, known := accepted[task.Job]
		tasks[task] = tasks[task] || term == 1 || told && known && begun < at
	}
	return tasks
}

func (r *replay) add(l line) {
	w := r.worker(l)
	j := r.job(l)
	switch {
	case l.is("Job is accepted."):
		j.queue, j.team, j.accepted = l.Field("queue"), l.Field("team"), l.at
		j.told = l.Field("serviceTasks") != ""
		j.serviceTasks = value(l, "serviceTasks", strconv.Atoi)
		j.service = j.serviceTasks > 0
	case l.is("Job is cancelled.", "Job was cancelled."):
		r.Cancel("", j.team, j.queue, j.id)(promises.Answer{Status: 200})
	case l.is("Occurrence was completed.", "Job has failed."), l.is("Final state of the job was stored.") && l.Field("state") != "cancelled":
		j.over = true
	case l.is("Worker was added.", "Worker is in the registry again."):
		w.Pool, w.Capacity.CPU = cmp.Or(l.Field("pool"), w.Pool), cmp.Or(int64(value(l, "cpu", strconv.Atoi)), w.Capacity.CPU)
		if !w.listed {
			w.Life++
			r.WorkerStarted(w.Worker)
		}
		w.listed = true
	case l.is("Worker is draining and will leave.", "Move of an instance was planned."):
		r.WorkerDraining(w.ID, w.Life)
	case l.is("Worker was removed.", "Worker is no longer in the registry.", "Maintenance command was planned.") && w.listed:
		r.WorkerLeft(w.ID, w.Life)
		w.listed = false
	}
	if age := value(l, "contactAge", time.ParseDuration); age > 0 {
		w.heard, w.told = l.at-age, l.at
	}
	if task, err := promises.ParseTask(l.task()); err == nil {
		r.addTask(l, j, w, task)
	}
}

func (r *replay) worker(l line) *loggedWorker {
	id := l.Field("worker")
	if r.workers[id] == nil {
		r.workers[id] = &loggedWorker{Worker: promises.Worker{ID: id}, running: make(map[promises.Task]int)}
	}
	return r.workers[id]
}

// job returns the job of a line. One whose acceptance is not logged counts as accepted from its first line on.
func (r *replay) job(l line) *loggedJob {
	id := l.Field("job")
	if r.jobs[id] == nil {
		r.jobs[id] = &loggedJob{id: id, queue: id, accepted: l.at}
	}
	return r.jobs[id]
}

// addTask adds what a line tells of a task.
func (r *replay) addTask(l line, j *loggedJob, w *loggedWorker, task promises.Task) {
	for len(j.steps) <= task.Step {
		j.steps = append(j.steps, loggedStep{})
	}
	s := &j.steps[task.Step]
	s.width, s.cpu = max(s.width, task.Index+1), cmp.Or(value(l, "cpu", strconv.Atoi), s.cpu)
	run := promises.Run{Task: task, Number: value(l, "run", strconv.Atoi), Worker: w.ID}
	begun, known := r.begun[run]
	switch {
	case l.is(noRun):
		j.service = true
		since := l.at - value(l, "for", time.ParseDuration)
		r.see(j, task, since)
		if o := r.open[task]; o != nil {
			o.idleSince = min(o.idleSince, since)
		}
	case l.is(adopted) && known && r.open[task] != nil && r.open[task].run == run:
		r.open[task].idleSince = never
	case l.is(started) && !known:
		r.see(j, task, l.at)
		r.begin(j, s, w, run)
	case l.is(adopted) && !known:
		// The start is not logged, so that the task may have run since the end of its last run.
		r.seen[task] = true
		r.now = max(j.accepted, r.ended[task])
		r.begin(j, s, w, run)
		r.begun[run] = l.at
	case l.is(ends...) && begun != never:
		if !known {
			r.startsMissing++
			r.now = l.at - value(l, "ran", time.ParseDuration)
			r.see(j, task, r.now)
			r.begin(j, s, w, run)
		}
		r.end(l, w, run)
	}
}

// see records that a line tells from when on a task is known to run or not to. Unless its first start is logged, it may have run before.
func (r *replay) see(j *loggedJob, task promises.Task, from time.Duration) {
	if !r.seen[task] && !r.firstStarts[task] && from > j.accepted {
		unseen := promises.Run{Task: task}
		now := r.now
		r.now = j.accepted
		r.RunBegan(unseen)
		r.now = from
		r.RunEnded(unseen, promises.Stopped)
		r.now = now
	}
	r.seen[task] = true
}

func (r *replay) begin(j *loggedJob, s *loggedStep, w *loggedWorker, run promises.Run) {
	// The exit of an earlier run may be logged after the start of the next one.
	if o := r.open[run.Task]; o == nil || o.run.Number < run.Number {
		if j.service {
			r.endOpen(run.Task, r.now)
		}
		r.open[run.Task] = &openRun{run, never}
	}
	r.begun[run] = r.now
	r.RunBegan(run)
	r.pools[j.queue] = promises.Queue{Pool: w.Pool}
	run.Task.Index = 0
	w.running[run.Task]++
	s.together = max(s.together, w.running[run.Task])
}

// endOpen ends the run of a task whose end is not logged, as a new leader does not log the loss of a run that it never knew of. It ended when the
// task was first said not to run, or at the given time.
func (r *replay) endOpen(task promises.Task, at time.Duration) {
	if o := r.open[task]; o != nil {
		now := r.now
		r.now = max(r.begun[o.run], min(o.idleSince, at))
		r.finish(o.run, promises.Crashed)
		r.now = now
	}
}

// end ends a run. One that was lost ended when its worker was last heard of.
func (r *replay) end(l line, w *loggedWorker, run promises.Run) {
	r.now = l.at
	if l.is("Task was lost.") && l.at-w.told < sameCause {
		r.now = max(r.begun[run], w.heard)
	}
	r.finish(run, promises.How(cmp.Or(l.Field("how"), string(promises.Crashed))))
}

func (r *replay) finish(run promises.Run, how promises.How) {
	r.ended[run.Task] = r.now
	r.RunEnded(run, how)
	r.inferService(run.Task.Job, r.now-r.begun[run])
	r.begun[run] = never
	if o := r.open[run.Task]; o != nil && o.run == run {
		delete(r.open, run.Task)
	}
	w := r.workers[run.Worker]
	run.Task.Index = 0
	w.running[run.Task]--
}

// inferService takes the job of a long run for a service, if it has one step, and the log does not tell.
func (r *replay) inferService(id string, ran time.Duration) {
	if j := r.jobs[id]; !j.told && !j.over && ran >= lastingAfter {
		j.service = true
	}
}

// submit records a job with its steps as far as they are known.
func (r *replay) submit(j *loggedJob) {
	job := promises.Job{ID: j.id, Queue: j.queue}
	if len(j.steps) == 0 && j.serviceTasks > 0 {
		j.steps = []loggedStep{{}}
	}
	lasts := j.service && (j.told || len(j.steps) == 1)
	for _, s := range j.steps {
		if len(j.steps) == 1 {
			s.width = max(s.width, j.serviceTasks)
		}
		job.Steps = append(job.Steps, promises.Step{
			Count: s.width, LongRunning: lasts, Needs: promises.Resources{CPU: int64(s.cpu)}, MaxPerWorker: max(s.together, 1),
		})
	}
	r.now = j.accepted
	r.Submit("", j.team, job)(promises.Answer{Status: 200})
	if _, ok := r.pools[j.queue]; !ok {
		r.pools[j.queue] = promises.Queue{}
	}
}
