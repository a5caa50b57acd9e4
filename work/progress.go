package work

import (
	"iter"
	"slices"
	"strconv"
)

// State is the state of a job.
type State int

// States of a job.
const (
	Pending State = iota
	Running
	Finished
	Failed
	Cancelled
)

var stateNames = [...]string{"pending", "running", "finished", "failed", "cancelled"}

// String returns the name of the state. Rows and messages of a newer version may contain states without a name here.
func (s State) String() string {
	if s < 0 || int(s) >= len(stateNames) {
		return "State(" + strconv.Itoa(int(s)) + ")"
	}
	return stateNames[s]
}

// Ended reports whether the job has ended: the state is final.
func (s State) Ended() bool { return s >= Finished }

// StepProgress is the stored progress of the tasks of a step.
type StepProgress struct {
	// Done is a bitmap of the tasks that are done.
	Done []byte `cbor:"1,keyasint,omitempty"`
	// Failures lists the numbers of the failed runs of each task, or of the gang under index 0. They are listed rather than
	// counted because a worker may report an exit again that a previous leader has already stored.
	Failures map[int][]int `cbor:"2,keyasint,omitempty"`
	// Checkpoints holds the latest checkpoint of each task, or of the gang under index 0.
	Checkpoints map[int]string `cbor:"3,keyasint,omitempty"`
	// Runs holds the latest run of each task that was started. A run is stored before its start command is sent.
	Runs map[int]RunRecord `cbor:"4,keyasint,omitempty"`
	// Crashes lists the numbers of the runs of each task under which a worker crashed. Earlier builds list those of a gang under index 0.
	Crashes map[int][]int `cbor:"5,keyasint,omitempty"`
	// ConfirmedCrashes counts those of Crashes whose start the worker had confirmed.
	ConfirmedCrashes map[int]int `cbor:"6,keyasint,omitempty"`
	// LateCrashes counts the runs under which a worker crashed that had survived their start. They are not in Crashes.
	LateCrashes map[int]int `cbor:"7,keyasint,omitempty"`
	// FirstRuns holds the other run of each task that has a copy on record in Runs. Earlier builds ignore it.
	FirstRuns map[int]RunRecord `cbor:"8,keyasint,omitempty"`
}

// RunRecord is a run and the worker on which it was started.
type RunRecord struct {
	_ struct{} `cbor:",toarray"`
	// Worker is an index into the Workers of the occurrence, or negative if the run is known to have ended.
	Worker int
	Number int
}

// IsDone reports whether a task is done.
func (p *StepProgress) IsDone(index int) bool {
	return index/8 < len(p.Done) && p.Done[index/8]&(1<<(index%8)) != 0
}

// SetDone marks a task as done.
func (p *StepProgress) SetDone(index int) {
	for index/8 >= len(p.Done) {
		p.Done = append(p.Done, 0)
	}
	p.Done[index/8] |= 1 << (index % 8)
}

// AddFailure records a failed run of a task and returns how many different runs of it have failed.
func (p *StepProgress) AddFailure(index, run int) int { return addRun(&p.Failures, index, run) }

// AddCrash records a run under which a worker crashed, and whether the worker had confirmed its start.
func (p *StepProgress) AddCrash(index, run int, confirmed bool) {
	before := len(p.Crashes[index])
	if addRun(&p.Crashes, index, run) > before && confirmed {
		addOne(&p.ConfirmedCrashes, index)
	}
}

// AddLateCrash records that a worker crashed that had survived the start of its run.
func (p *StepProgress) AddLateCrash(index int) { addOne(&p.LateCrashes, index) }

// ForgetCrashes removes the crashes under a task, and reports whether there were any.
func (p *StepProgress) ForgetCrashes(index int) bool {
	n := len(p.Crashes[index]) + p.LateCrashes[index]
	delete(p.Crashes, index)
	delete(p.ConfirmedCrashes, index)
	delete(p.LateCrashes, index)
	return n > 0
}

func addOne(counts *map[int]int, index int) {
	if *counts == nil {
		*counts = make(map[int]int)
	}
	(*counts)[index]++
}

// addRun adds a run to those of a task, unless it is among them, and returns their number.
func addRun(runs *map[int][]int, index, run int) int {
	if *runs == nil {
		*runs = make(map[int][]int)
	}
	if !slices.Contains((*runs)[index], run) {
		(*runs)[index] = append((*runs)[index], run)
	}
	return len((*runs)[index])
}

// SetCheckpoint records the latest checkpoint of a task.
func (p *StepProgress) SetCheckpoint(index int, value string) {
	if p.Checkpoints == nil {
		p.Checkpoints = make(map[int]string)
	}
	p.Checkpoints[index] = value
}

// OccurrenceProgress is the progress of one occurrence.
type OccurrenceProgress struct {
	Steps []StepProgress `cbor:"1,keyasint"`
	// Workers lists the workers on which tasks were started. While the store is unavailable, tasks start only on these.
	Workers []string `cbor:"2,keyasint,omitempty"`
}

// SetRun records the latest run of a task and its worker.
func (o *OccurrenceProgress) SetRun(step, index int, worker string, number int) {
	s := &o.Steps[step]
	if s.Runs == nil {
		s.Runs = make(map[int]RunRecord)
	}
	s.Runs[index] = RunRecord{Worker: o.workerIndex(worker), Number: number}
	delete(s.FirstRuns, index)
}

// SetFirstRun records the run of a task of which the latest one is a copy.
func (o *OccurrenceProgress) SetFirstRun(step, index int, worker string, number int) {
	s := &o.Steps[step]
	if s.FirstRuns == nil {
		s.FirstRuns = make(map[int]RunRecord)
	}
	s.FirstRuns[index] = RunRecord{Worker: o.workerIndex(worker), Number: number}
}

// workerIndex returns the index of a worker in the list, to which it is added if needed.
func (o *OccurrenceProgress) workerIndex(worker string) int {
	at := slices.Index(o.Workers, worker)
	if at < 0 {
		at = len(o.Workers)
		o.Workers = append(o.Workers, worker)
	}
	return at
}

// EndRun records that a run of a task has ended, if it is the latest one or that of which the latest one is a copy. It reports whether the
// run was recorded on a worker.
func (o *OccurrenceProgress) EndRun(step, index, number int) bool {
	if first, ok := o.Steps[step].FirstRuns[index]; ok && first.Number == number {
		delete(o.Steps[step].FirstRuns, index)
		return true
	}
	runs := o.Steps[step].Runs
	r, ok := runs[index]
	if !ok || r.Worker < 0 || r.Number != number {
		return false
	}
	runs[index] = RunRecord{Worker: endedRun, Number: number}
	return true
}

// endedRun stands for the worker of a run that has ended.
const endedRun = -1

// ForgetWorkers removes the workers that are gone, unless they have the latest run of a task that is not done. It reports whether there
// were any.
func (o *OccurrenceProgress) ForgetWorkers(gone func(id string) bool) bool {
	used := make([]bool, len(o.Workers))
	for i := range o.Steps {
		s := &o.Steps[i]
		for index, r := range s.Runs {
			switch {
			case s.IsDone(index) || r.Worker >= len(used):
				delete(s.Runs, index)
			case r.Worker >= 0:
				used[r.Worker] = true
			}
		}
		for index, r := range s.FirstRuns {
			if s.IsDone(index) || r.Worker < 0 || r.Worker >= len(used) {
				delete(s.FirstRuns, index)
				continue
			}
			used[r.Worker] = true
		}
	}
	kept := make([]string, 0, len(o.Workers))
	moved := make([]int, len(o.Workers))
	for at, id := range o.Workers {
		if used[at] || !gone(id) {
			moved[at] = len(kept)
			kept = append(kept, id)
		}
	}
	for i := range o.Steps {
		for _, runs := range []map[int]RunRecord{o.Steps[i].Runs, o.Steps[i].FirstRuns} {
			for index, r := range runs {
				if r.Worker >= 0 {
					r.Worker = moved[r.Worker]
					runs[index] = r
				}
			}
		}
	}
	forgotten := len(kept) < len(o.Workers)
	o.Workers = kept
	return forgotten
}

// LastRun returns the number of the latest recorded run of a task, which may have ended, and 0 if there is none.
func (o *OccurrenceProgress) LastRun(step, index int) int { return o.Steps[step].Runs[index].Number }

// Run returns the latest recorded run of a task and its worker, unless the run is known to have ended.
func (o *OccurrenceProgress) Run(step, index int) (worker string, number int, ok bool) {
	r, ok := o.Steps[step].Runs[index]
	if !ok || r.Worker < 0 || r.Worker >= len(o.Workers) {
		return "", 0, false
	}
	return o.Workers[r.Worker], r.Number, true
}

// OpenRuns returns the recorded runs of a task that are not known to have ended, with their workers: the latest one last.
func (o *OccurrenceProgress) OpenRuns(step, index int) iter.Seq2[string, int] {
	return func(yield func(string, int) bool) {
		s := &o.Steps[step]
		for _, runs := range []map[int]RunRecord{s.FirstRuns, s.Runs} {
			if r, ok := runs[index]; ok && r.Worker >= 0 && r.Worker < len(o.Workers) && !yield(o.Workers[r.Worker], r.Number) {
				return
			}
		}
	}
}

// Progress is the stored progress of a job.
type Progress struct {
	State State `cbor:"1,keyasint"`
	// Occurrences holds the occurrences that have started and are not complete.
	Occurrences map[int]*OccurrenceProgress `cbor:"2,keyasint,omitempty"`
	// Complete holds the occurrences whose tasks are all done.
	Complete map[int]bool `cbor:"3,keyasint,omitempty"`
	// Reason says why the job has ended.
	Reason string `cbor:"4,keyasint,omitempty"`
	// Parts is the number of further parts of a progress that was split, in its first part.
	Parts int `cbor:"5,keyasint,omitempty"`
	// CompleteRanges holds complete occurrences of a progress that was split, besides those in Complete.
	CompleteRanges []Range `cbor:"6,keyasint,omitempty"`
}

// Range is the range of the numbers from Start to before End.
type Range struct {
	_     struct{} `cbor:",toarray"`
	Start int
	End   int
}

// NewProgress returns the progress of a job that has not started.
func NewProgress() *Progress {
	return &Progress{Occurrences: make(map[int]*OccurrenceProgress), Complete: make(map[int]bool)}
}

// Init replaces nil maps and ranges of complete occurrences after decoding.
func (p *Progress) Init() {
	if p.Occurrences == nil {
		p.Occurrences = make(map[int]*OccurrenceProgress)
	}
	if p.Complete == nil {
		p.Complete = make(map[int]bool)
	}
	for _, r := range p.CompleteRanges {
		for k := max(0, r.Start); k < min(r.End, MaxOccurrences); k++ {
			p.Complete[k] = true
		}
	}
	p.CompleteRanges = nil
}

// Occurrence returns the progress of an occurrence of the job and creates it if needed.
func (p *Progress) Occurrence(j *Job, k int) *OccurrenceProgress {
	o, ok := p.Occurrences[k]
	if !ok || o == nil || len(o.Steps) != len(j.Steps) {
		o = &OccurrenceProgress{Steps: make([]StepProgress, len(j.Steps))}
		p.Occurrences[k] = o
	}
	return o
}

// Begun reports whether a worker is known to have begun a task of the job. A run is recorded before it is started, so that its record does
// not tell.
func (p *Progress) Begun() bool {
	if len(p.Complete)+len(p.CompleteRanges) > 0 {
		return true
	}
	for _, o := range p.Occurrences {
		if o == nil {
			continue
		}
		for _, s := range o.Steps {
			if len(s.Done)+len(s.Failures)+len(s.Checkpoints)+len(s.ConfirmedCrashes)+len(s.LateCrashes) > 0 {
				return true
			}
		}
	}
	return false
}
