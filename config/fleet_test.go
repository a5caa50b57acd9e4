package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/chivetiller/chivetiller/provider/standin"
	"github.com/chivetiller/chivetiller/team"
)

// simulatedFleet is a set of sources that share a platform and pass confirmations on, with faults
// of the platform, of the connections between them and of their processes.
type simulatedFleet struct {
	t       *testing.T
	random  *rand.Rand
	origin  *Store
	tables  []*faultyTable
	sources []*Source
	cut     [][]bool
	// seen is the latest version that each entry instance had in force, over all its processes.
	seen []uint64
	// withdrawn is when the withdrawal of a key was accepted.
	withdrawn map[string]time.Time
	key       string
}

func newSimulatedFleet(t *testing.T, seed uint64, size int) *simulatedFleet {
	table := standin.NewTable()
	f := &simulatedFleet{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), origin: NewStore(table, StoreOptions{}),
		seen: make([]uint64, size), withdrawn: make(map[string]time.Time),
	}
	for range size {
		f.tables = append(f.tables, &faultyTable{Table: table})
		f.cut = append(f.cut, make([]bool, size))
	}
	f.rotateKey()
	for i := range size {
		f.sources = append(f.sources, nil)
		f.start(i)
	}
	return f
}

func (f *simulatedFleet) start(i int) {
	if f.sources[i] != nil {
		f.seen[i] = max(f.seen[i], f.sources[i].Snapshot().Version())
		_ = f.sources[i].Stop(context.Background())
	}
	f.sources[i] = NewSource(NewStore(f.tables[i], StoreOptions{}), SourceOptions{})
	_ = f.sources[i].Start(context.Background())
}

// rotateKey replaces the key of the team.
func (f *simulatedFleet) rotateKey() {
	key, spec, _ := team.NewKey(fmt.Sprintf("k%d", len(f.withdrawn)))
	result, err := f.origin.Change(context.Background(), put(teamDocument("supervisors", spec)))
	if err != nil {
		f.t.Fatal(err)
	}
	f.withdrawn[f.key] = result.AcceptedAt
	f.key = key
}

// fault changes one thing at random.
func (f *simulatedFleet) fault() {
	i, j := f.random.IntN(len(f.sources)), f.random.IntN(len(f.sources))
	switch f.random.IntN(7) {
	case 0:
		f.tables[i].set(func(t *faultyTable) { t.down = !t.down })
	case 1:
		delay := time.Duration(f.random.IntN(2500)) * time.Millisecond
		f.tables[i].set(func(t *faultyTable) { t.delay = delay })
	case 2:
		f.cut[i][j] = !f.cut[i][j]
	case 3:
		f.start(i)
	case 4: // heal everything
		for i := range f.tables {
			f.tables[i].set(func(t *faultyTable) { t.down, t.delay = false, 0 })
			clear(f.cut[i])
		}
	default:
		f.rotateKey()
	}
}

// exchange lets one source ask another, with the arithmetic and the delays of heartbeats between peers.
func (f *simulatedFleet) exchange(asker, answerer *Source, there, back time.Duration) {
	asked := time.Now()
	time.Sleep(there)
	version, age, known := answerer.Report()
	time.Sleep(back)
	if !known {
		return
	}
	confirmed := asked.Add(-age)
	if asker.Observe(version, confirmed) {
		return
	}
	delta, err := answerer.Delta(asker.Snapshot().Version())
	if err != nil || asker.Accept(delta) != nil {
		f.t.Error("delta of a peer was not accepted", err)
	}
	asker.Observe(version, confirmed)
}

func (f *simulatedFleet) check() {
	for i, source := range f.sources {
		select {
		case <-source.Ready():
		default:
			continue
		}
		version := source.Snapshot().Version()
		if version < f.seen[i] {
			f.t.Fatalf("instance %d went from version %d back to %d", i, f.seen[i], version)
		}
		f.seen[i] = version
		for key, at := range f.withdrawn {
			if _, err := source.Authenticate(key); err == nil && time.Since(at) > source.Policy().FreshnessBound() {
				f.t.Fatalf("instance %d admits a key %s after its withdrawal", i, time.Since(at))
			}
		}
	}
}

// Guards against any order of faults of the platform, of connections and of processes in which a withdrawn key
// is admitted too long, a version goes back, or a healed fleet does not reach the newest version.
func TestFleetUnderRandomFaults(t *testing.T) {
	const size, seeds, steps = 4, 40, 1500
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newSimulatedFleet(t, seed, size)
				defer func() {
					for _, source := range f.sources {
						_ = source.Stop(context.Background())
					}
					time.Sleep(time.Second) // exchanges under way end
				}()
				for step := range steps {
					if step%20 == 0 {
						f.fault()
					}
					i, j := f.random.IntN(size), f.random.IntN(size)
					there, back := time.Duration(f.random.IntN(400)), time.Duration(f.random.IntN(400))
					if !f.cut[i][j] {
						go f.exchange(f.sources[i], f.sources[j], there*time.Millisecond, back*time.Millisecond)
					}
					time.Sleep(50 * time.Millisecond)
					synctest.Wait()
					f.check()
				}
				for i := range f.tables {
					f.tables[i].set(func(t *faultyTable) { t.down, t.delay = false, 0 })
				}
				time.Sleep(5 * time.Second)
				for i, source := range f.sources {
					if _, err := source.Authenticate(f.key); err != nil {
						t.Fatalf("instance %d refuses a valid key after everything healed: %v", i, err)
					}
				}
			})
		})
	}
}
