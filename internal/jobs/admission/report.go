package admission

import (
	"math"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/internal/jobs/order"
	"github.com/chivetiller/chivetiller/work"
)

const (
	// maxShapes is the maximum number of different capacities in a report. A fleet with more is not judged by them.
	maxShapes = 16
	// maxTeams is the maximum number of teams in a report. The jobs of others count as within their rates, and are refused later.
	maxTeams = 64
	// sizes is the number of classes of jobs by their remaining work, each twice as large as the one before. The first one is up to
	// firstSize core-seconds.
	sizes     = 16
	firstSize = 0.5
)

// Instances are a number of instances with the same capacity.
type Instances struct {
	Capacity work.Resources `cbor:"1,keyasint"`
	Count    int            `cbor:"2,keyasint"`
}

// Report is what admission has to know of a queue. Work is in core-seconds.
type Report struct {
	// Cores is the number of cores that the pool can get for batch jobs.
	Cores float64 `cbor:"1,keyasint,omitempty"`
	// Shapes are the instances that the pool can get. It is empty if that is not known.
	Shapes []Instances `cbor:"2,keyasint,omitempty"`
	// Urgent is the work of jobs of more urgent queues that can be done in time, Within that of jobs of the same priority by size, and
	// Late that of jobs that are late and not without value. All of them are within the rates of their teams.
	Urgent float64   `cbor:"3,keyasint,omitempty"`
	Within []float64 `cbor:"4,keyasint,omitempty"`
	Late   float64   `cbor:"5,keyasint,omitempty"`
	// Less is the work of less urgent jobs within the rates that can be done in time.
	Less float64 `cbor:"6,keyasint,omitempty"`
	// BeyondUrgent and Beyond are Urgent and Within of jobs beyond the rates of their teams.
	BeyondUrgent float64   `cbor:"7,keyasint,omitempty"`
	Beyond       []float64 `cbor:"8,keyasint,omitempty"`
	// Teams are the teams whose next job is beyond their rate.
	Teams []string `cbor:"9,keyasint,omitempty"`
}

// before returns the work that is served before a job that has just arrived, as far as that is certain.
func (r *Report) before(job *work.Job) float64 {
	size := job.CoreSeconds()
	if !slices.Contains(r.Teams, job.Team) {
		return r.Urgent + smaller(r.Within, size)
	}
	total := r.Urgent + r.Late + r.Less + r.BeyondUrgent + smaller(r.Beyond, size)
	for _, w := range r.Within {
		total += w
	}
	return total
}

// smaller returns the work of jobs that are smaller than a size. Of those in the same class, half are taken to be.
func smaller(bySize []float64, size float64) float64 {
	own, total := sizeClass(size), 0.0
	for class, w := range bySize {
		switch {
		case class < own:
			total += w
		case class == own:
			total += w / 2
		}
	}
	return total
}

// sizeClass returns the class of a job by its remaining work.
func sizeClass(work float64) int {
	if work <= firstSize {
		return 0
	}
	return min(sizes-1, int(math.Ceil(math.Log2(work/firstSize))))
}

// Load is the work of the batch jobs that wait in a pool at a time. The zero value is a pool without jobs.
type Load struct {
	at time.Duration
	// inTime holds the work of jobs that can be done in time, within and beyond the rates, by priority and size.
	inTime [2]map[int]*[sizes]float64
	late   float64
}

// NewLoad returns a load without jobs at a time.
func NewLoad(at time.Duration) Load { return Load{at: at} }

// Add adds a job with its remaining work. Services and jobs without a value do not count.
func (l *Load) Add(tier order.Tier, beyond bool, priority int, coreSeconds float64) {
	switch {
	case tier == order.Late && !beyond:
		l.late += coreSeconds
	case tier == order.InTime:
		side := 0
		if beyond {
			side = 1
		}
		if l.inTime[side] == nil {
			l.inTime[side] = make(map[int]*[sizes]float64)
		}
		bySize, ok := l.inTime[side][priority]
		if !ok {
			bySize = new([sizes]float64)
			l.inTime[side][priority] = bySize
		}
		bySize[sizeClass(coreSeconds)] += coreSeconds
	}
}

// Report returns the report of a queue. teams are those whose next job is beyond their rate. A load that is old counts as none: a pool
// without jobs or workers is not planned.
func (l *Load) Report(now time.Duration, priority int, room *Room, teams []string) Report {
	if now-l.at > MaxAge {
		l = &Load{}
	}
	r := Report{Cores: room.cores(), Shapes: room.shapes(), Late: l.late, Teams: teams[:min(len(teams), maxTeams)]}
	r.Urgent, r.Within, r.Less = split(l.inTime[0], priority)
	r.BeyondUrgent, r.Beyond, _ = split(l.inTime[1], priority)
	return r
}

// split returns the work of more urgent jobs, of those with the same priority by size, and of the others.
func split(byPriority map[int]*[sizes]float64, priority int) (urgent float64, same []float64, less float64) {
	for p, bySize := range byPriority {
		total := 0.0
		for _, w := range bySize {
			total += w
		}
		switch {
		case p < priority:
			urgent += total
		case p > priority:
			less += total
		default:
			same = bySize[:]
		}
	}
	return urgent, same, less
}
