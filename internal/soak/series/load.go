package series

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/promises"
	"github.com/chivetiller/chivetiller/internal/soak/world"
)

const (
	service  = "desk"
	attempts = 3
	// callers is the number of clients that submit jobs.
	callers = 6
	// submitGap is the mean time between two jobs of a caller.
	submitGap = 450 * time.Millisecond
	// probeInterval is the time between two calls with keys and queues that come and go.
	probeInterval = 60 * time.Millisecond
	// configureInterval is the time between two configurations.
	configureInterval = 2500 * time.Millisecond
	// waveInterval is the time between two maintenance waves, and waveFinish the time that each has.
	waveInterval = 5 * time.Second
	waveFinish   = time.Minute
	waveSize     = 2
	// wrongShare is the share of the jobs that are submitted with a key that no team has.
	wrongShare = 0.04
	// maxLasting bounds the jobs that last, so that they leave room.
	maxLasting = 3
	// loadStream separates the draws of the load from other draws of the seed.
	loadStream = 0x10ad
	// mainQueue and limitedQueue are the queues that stay, and extraQueue the one that comes and goes.
	mainQueue  = "main"
	extraQueue = "extra"
)

// Keys that stay, of a team without a limit and of one with a limit, one that comes and goes, and one that never was.
const (
	freeKey    = "key-of-free"
	limitedKey = "key-of-limited"
	guestKey   = "key-of-guest"
	unknownKey = "key-of-nobody"
)

var (
	taskNeeds = promises.Resources{CPU: 1000, Memory: 64}
	teamLimit = promises.Resources{CPU: 3000}
)

// submitted is a job with the key of its team.
type submitted struct {
	key string
	job world.Job
}

// load is what clients and the operator do.
type load struct {
	w        *world.World
	options  Options
	begin    time.Time
	versions int

	mu       sync.Mutex
	accepted []submitted
	lasting  int
}

func newLoad(w *world.World, o Options) *load { return &load{w: w, options: o} }

// configure writes the next configuration. The extra queue and the guest key come and go.
func (l *load) configure() {
	l.versions++
	queues := []world.Queue{world.NewQueue(mainQueue, service, attempts)}
	guest := promises.Team{}
	if l.versions%2 == 1 {
		guest.Keys = []string{guestKey}
	}
	if l.versions%4 < 2 {
		queues = append(queues, world.NewQueue(extraQueue, service, attempts))
	}
	l.w.ConfigureTeams([]world.Team{
		{Name: "free", Team: promises.Team{Keys: []string{freeKey}}},
		{Name: "limited", Team: promises.Team{Keys: []string{limitedKey}, Limit: teamLimit}},
		{Name: "guest", Team: guest},
	}, []string{service}, queues...)
}

// run plays the load.
func (l *load) run() {
	l.begin = time.Now()
	var parts sync.WaitGroup
	for i := range callers {
		parts.Go(func() { l.call(i) })
	}
	parts.Go(func() { l.repeat(configureInterval, l.configure) })
	wave := 0
	parts.Go(func() {
		l.repeat(waveInterval, func() {
			wave++
			l.requestWave(wave)
		})
	})
	prober, random := l.w.NewCaller(0), l.random(callers)
	parts.Go(func() { l.repeat(probeInterval, func() { l.probe(prober, random) }) })
	parts.Wait()
	l.w.History().LoadEnded()
	l.w.Record("the load has ended")
}

func (l *load) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(l.options.Seed, loadStream+stream))
}

// over reports whether the load has ended.
func (l *load) over() bool { return time.Since(l.begin) >= l.options.Duration }

// repeat does something at an interval until the load has ended.
func (l *load) repeat(interval time.Duration, do func()) {
	for time.Sleep(interval); !l.over(); time.Sleep(interval) {
		do()
	}
}

// requestWave requests the maintenance of some machines, each in one wave.
func (l *load) requestWave(number int) {
	var machines []string
	for i := range waveSize {
		if m := (number-1)*waveSize + i; m < l.options.Workers {
			machines = append(machines, fmt.Sprintf("m%d", m+1))
		}
	}
	if len(machines) > 0 {
		l.w.RequestWave(number, 1, waveFinish, machines)
	}
}

// probe makes one call with a key or a queue that comes and goes.
func (l *load) probe(c *world.Caller, random *rand.Rand) {
	n := l.w.Nodes()[random.IntN(len(l.w.Nodes()))]
	switch random.IntN(5) {
	case 0, 1:
		c.Probe(n, guestKey, mainQueue)
	case 2, 3:
		c.Probe(n, freeKey, extraQueue)
	case 4:
		c.Probe(n, unknownKey, mainQueue)
	}
}

// call submits jobs, cancels some and asks for their states.
func (l *load) call(number int) {
	random := l.random(uint64(number))
	c := l.w.NewCaller(number)
	key := freeKey
	if number%2 == 1 {
		key = limitedKey
	}
	var mine []submitted
	var cancels sync.WaitGroup
	defer cancels.Wait()
	for n := 0; !l.over(); n++ {
		j, cancelAfter := l.draw(random, key, fmt.Sprintf("%08x%08x", random.Uint32(), number<<16|n))
		used := key
		if random.Float64() < wrongShare {
			used = unknownKey
		}
		accepted, err := c.Submit(used, j)
		if err != nil {
			l.w.Record("job %s was not submitted: %v", j.ID, err)
			return
		}
		if accepted {
			mine = append(mine, submitted{key, j})
			l.mu.Lock()
			l.accepted = append(l.accepted, submitted{key, j})
			l.mu.Unlock()
		}
		if accepted && cancelAfter > 0 {
			cancels.Go(func() {
				time.Sleep(cancelAfter)
				c.Cancel(key, j.Queue, j.ID)
			})
		}
		if len(mine) > 0 {
			asked := mine[random.IntN(len(mine))]
			c.Ask(asked.key, asked.job.Queue, asked.job.ID)
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(submitGap)))
	}
}

// draw draws a job, and after which time it is cancelled, if it is. Jobs that last would use up the limit of the limited team.
func (l *load) draw(random *rand.Rand, key, id string) (j world.Job, cancelAfter time.Duration) {
	estimate := time.Duration(100+random.IntN(500)) * time.Millisecond
	j = world.Job{Job: promises.Job{ID: id, Queue: mainQueue, Spec: fmt.Sprintf("run %d", estimate.Milliseconds())}, Estimate: estimate}
	step := promises.Step{Count: 1 + random.IntN(3), Needs: taskNeeds}
	switch kind := random.IntN(100); {
	case kind < 40:
	case kind < 55:
		j.Steps = []promises.Step{step, {Count: 2, Needs: taskNeeds, After: []int{0}}}
		return j, 0
	case kind < 67:
		step.Gang, step.Count = true, 3
	case kind < 73:
		step.Count = 1
		j.Spec = fmt.Sprintf("fail %d", estimate.Milliseconds())
	case kind < 79:
		step.Requires, step.MaxPerWorker = rackOf(random.IntN(l.options.Workers)), 1
	case kind < 85:
		step.Count, j.Occurrences = 1, 2
		j.First, j.Interval = time.Now().Add(time.Second), time.Second
	case kind < 90 && key == freeKey && l.takeLasting():
		step.LongRunning, step.Count, step.MayMiss, step.MaxPerWorker = true, 3, 1, 1
		j.Spec = "run 600000"
	default:
		j.Spec = "run 6000"
		cancelAfter = time.Duration(200+random.IntN(1500)) * time.Millisecond
	}
	j.Steps = []promises.Step{step}
	return j, cancelAfter
}

// takeLasting reports whether there may be one more job that lasts.
func (l *load) takeLasting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lasting++
	return l.lasting <= maxLasting
}

// settle waits until jobs have to be done or at work, and asks for each accepted job.
func (l *load) settle() {
	time.Sleep(promises.DefaultBounds().Finish + 100*time.Millisecond)
	l.mu.Lock()
	accepted := slices.Clone(l.accepted)
	l.mu.Unlock()
	var asks sync.WaitGroup
	for i := range callers {
		c := l.w.NewCaller(i)
		asks.Go(func() {
			for n := i; n < len(accepted); n += callers {
				c.Ask(accepted[n].key, accepted[n].job.Queue, accepted[n].job.ID)
			}
		})
	}
	asks.Wait()
	time.Sleep(watchTime)
}
