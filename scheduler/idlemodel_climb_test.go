package scheduler

import (
	"cmp"
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	idleModelPlays  = flag.Int("idle.plays", 0, "number of plays of the search for small margins of services")
	idleModelKeep   = flag.String("idle.keep", "", "file to which the search writes the plays with a margin below a second")
	idleModelSearch = flag.Uint64("idle.search", 1, "seed of the search for small margins of services")
)

const (
	// idleModelKept is the number of plays with the smallest margins that are kept for each reason.
	idleModelKept = 6
	// idleModelWorkers is the number of plays at a time.
	idleModelWorkers = 2
)

// idleModelFinding is a play and what it has shown.
type idleModelFinding struct {
	play   idleModelPlay
	result idleModelResult
}

// idleModelClimber varies the plays with the smallest margins so far, for each reason of the leader.
type idleModelClimber struct {
	mu     sync.Mutex
	random *rand.Rand
	best   map[string][]idleModelFinding
	// below counts the plays with a margin below idleReserve, and lost those that break the rule, by reason.
	below, lost map[string]int
	// believed is the play with the longest time for which the leader took a task to run that did not.
	believed idleModelFinding
	// left is the number of plays that are left, and fresh the seed of the next one that is not a variation.
	left  int
	fresh uint64
	// kept lists the plays below idleReserve, one a line.
	kept strings.Builder
	// firstBelow and firstLost are the numbers of the first such plays.
	played, firstBelow, firstLost int
}

func newIdleModelClimber(seed uint64, plays int) *idleModelClimber {
	return &idleModelClimber{
		random: rand.New(rand.NewPCG(seed, 45)), best: make(map[string][]idleModelFinding), below: make(map[string]int), lost: make(map[string]int), left: plays, fresh: seed << 32,
	}
}

// next returns the next play, and false after the last one.
func (c *idleModelClimber) next() (idleModelPlay, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left == 0 {
		return idleModelPlay{}, false
	}
	c.left--
	if len(c.best) == 0 || c.random.IntN(3) == 0 {
		c.fresh++
		return newIdleModelPlay(c.fresh), true
	}
	var all []idleModelFinding
	for _, reason := range sortedNames(c.best) {
		all = append(all, c.best[reason]...)
	}
	return c.vary(all[c.random.IntN(len(all))].play), true
}

func sortedNames[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// vary returns a variation of a play: of the kinds, share, moment and length of what happens, or of the surroundings.
func (c *idleModelClimber) vary(p idleModelPlay) idleModelPlay {
	p.Events = slices.Clone(p.Events)
	for range 1 + c.random.IntN(3) {
		if len(p.Events) == 0 || c.random.IntN(5) == 0 && len(p.Events) < 14 {
			p.Events = append(p.Events, drawIdleModelEvent(c.random, c.moment(p)))
			continue
		}
		i := c.random.IntN(len(p.Events))
		e := &p.Events[i]
		kind := idleModelKinds[e.Kind]
		switch c.random.IntN(9) {
		case 0:
			p.Events = slices.Delete(p.Events, i, i+1)
		case 1, 2:
			e.At = max(idleModelWarmUp, e.At+time.Duration(c.random.IntN(81)-40)*idleModelStep)
		case 3, 4:
			e.For = min(kind.longest, max(idleModelStep, e.For+time.Duration(c.random.IntN(61)-30)*idleModelStep))
		case 5:
			e.Share = min(1, max(0.05, e.Share+c.random.Float64()-0.5))
		case 6:
			e.Mode = c.random.IntN(kind.modes)
		case 7:
			e.Pool = c.random.IntN(5) - 1
		default:
			p.Seed += 1 + c.random.Uint64N(1000)
		}
	}
	return p
}

// moment returns a moment near those of the events of a play.
func (c *idleModelClimber) moment(p idleModelPlay) time.Duration {
	at := idleModelWarmUp
	if len(p.Events) > 0 {
		e := p.Events[c.random.IntN(len(p.Events))]
		at = max(at, e.At+time.Duration(c.random.IntN(201)-60)*idleModelStep)
	}
	return at
}

// record keeps the result of a play.
func (c *idleModelClimber) record(f idleModelFinding) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.played++
	r := f.result
	if r.reason == "" {
		return
	}
	if r.margin < idleReserve {
		c.below[r.reason]++
		c.kept.WriteString(f.play.describe() + "\n")
		if c.firstBelow == 0 {
			c.firstBelow = c.played
		}
	}
	if r.margin <= 0 {
		c.lost[r.reason]++
		if c.firstLost == 0 {
			c.firstLost = c.played
		}
	}
	if r.believed > c.believed.result.believed {
		c.believed = f
	}
	kept := append(slices.Clone(c.best[r.reason]), f)
	slices.SortStableFunc(kept, func(a, b idleModelFinding) int { return cmp.Compare(a.result.margin, b.result.margin) })
	c.best[r.reason] = kept[:min(len(kept), idleModelKept)]
}

// search plays until no plays are left.
func (c *idleModelClimber) search() {
	var workers sync.WaitGroup
	for range idleModelWorkers {
		workers.Go(func() {
			for {
				p, ok := c.next()
				if !ok {
					return
				}
				c.record(idleModelFinding{p, newIdleModel(p).run()})
			}
		})
	}
	workers.Wait()
}

// TestServiceMarginSearch searches for plays in which a task of a service comes near to what the users count as lost. It runs with -idle.plays.
func TestServiceMarginSearch(t *testing.T) {
	if *idleModelPlays == 0 {
		t.Skip("no plays; see docs/measurements/idle.md")
	}
	c := newIdleModelClimber(*idleModelSearch, *idleModelPlays)
	c.search()
	if *idleModelKeep != "" {
		qt.Check(t, os.WriteFile(*idleModelKeep, []byte(c.kept.String()), 0o600), qt.IsNil)
	}
	t.Logf("%d plays, first with less than %v: %d, first lost: %d", c.played, idleReserve, c.firstBelow, c.firstLost)
	for _, reason := range sortedNames(c.best) {
		f := c.best[reason][0]
		t.Logf("%s: %d below %v, %d lost, smallest: %v: %s", reason, c.below[reason], idleReserve, c.lost[reason], f.result, f.play.describe())
		if f.result.margin < idleReserve {
			t.Fail()
		}
	}
	t.Logf("longest taken to run: %v: %s", c.believed.result, c.believed.play.describe())
}
