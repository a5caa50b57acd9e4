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

// simulatedFleet is a set of sources that share a platform and exchange confirmations. It injects faults
// of the platform, of the connections between the sources and of their processes.
type simulatedFleet struct {
	t           *testing.T
	random      *rand.Rand
	origin      *Store
	tables      []*faultyTable
	sources     []*Source
	unreachable [][]bool
	// latestVersion holds the newest version that each entry instance had in force, across its restarts.
	latestVersion []uint64
	// revokedAt holds when the revocation of each key was accepted.
	revokedAt map[string]time.Time
	key       string
}

func newSimulatedFleet(t *testing.T, seed uint64, size int) *simulatedFleet {
	table := standin.NewTable()
	f := &simulatedFleet{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), origin: NewStore(table, StoreOptions{}),
		latestVersion: make([]uint64, size), revokedAt: make(map[string]time.Time),
	}
	for range size {
		f.tables = append(f.tables, &faultyTable{Table: table})
		f.unreachable = append(f.unreachable, make([]bool, size))
	}
	f.rotateKey()
	for i := range size {
		f.sources = append(f.sources, nil)
		f.restart(i)
	}
	return f
}

func (f *simulatedFleet) restart(i int) {
	if f.sources[i] != nil {
		f.latestVersion[i] = max(f.latestVersion[i], f.sources[i].Snapshot().Version())
		_ = f.sources[i].Stop(context.Background())
	}
	f.sources[i] = NewSource(NewStore(f.tables[i], StoreOptions{}), SourceOptions{})
	_ = f.sources[i].Start(context.Background())
}

// rotateKey replaces the key of the team.
func (f *simulatedFleet) rotateKey() {
	key, spec, _ := team.NewKey(fmt.Sprintf("k%d", len(f.revokedAt)))
	result, err := f.origin.Change(context.Background(), putRequest(teamDocument("supervisors", spec)))
	if err != nil {
		f.t.Fatal(err)
	}
	f.revokedAt[f.key] = result.AcceptedAt
	f.key = key
}

// injectFault toggles one random fault, repairs all faults, or rotates the key.
func (f *simulatedFleet) injectFault() {
	i, j := f.random.IntN(len(f.sources)), f.random.IntN(len(f.sources))
	switch f.random.IntN(7) {
	case 0:
		f.tables[i].set(func(t *faultyTable) { t.down = !t.down })
	case 1:
		delay := time.Duration(f.random.IntN(2500)) * time.Millisecond
		f.tables[i].set(func(t *faultyTable) { t.delay = delay })
	case 2:
		f.unreachable[i][j] = !f.unreachable[i][j]
	case 3:
		f.restart(i)
	case 4: // repair all faults
		for i := range f.tables {
			f.tables[i].set(func(t *faultyTable) { t.down, t.delay = false, 0 })
			clear(f.unreachable[i])
		}
	default:
		f.rotateKey()
	}
}

// exchange sends a heartbeat from one source to another, with delays. It computes the time of the confirmation
// as peers do.
func (f *simulatedFleet) exchange(client, server *Source, requestDelay, responseDelay time.Duration) {
	sentAt := time.Now()
	time.Sleep(requestDelay)
	version, age, known := server.Report()
	time.Sleep(responseDelay)
	if !known {
		return
	}
	confirmed := sentAt.Add(-age)
	if client.Observe(version, confirmed) {
		return
	}
	delta, err := server.Delta(client.Snapshot().Version())
	if err != nil || client.Accept(delta) != nil {
		f.t.Error("delta of a peer was not accepted", err)
	}
	client.Observe(version, confirmed)
}

func (f *simulatedFleet) checkInvariants() {
	for i, source := range f.sources {
		select {
		case <-source.Ready():
		default:
			continue
		}
		version := source.Snapshot().Version()
		if version < f.latestVersion[i] {
			f.t.Fatalf("instance %d went from version %d back to %d", i, f.latestVersion[i], version)
		}
		f.latestVersion[i] = version
		for key, at := range f.revokedAt {
			if _, err := source.Authenticate(key); err == nil && time.Since(at) > source.Policy().FreshnessBound() {
				f.t.Fatalf("instance %d admits a key %s after its revocation", i, time.Since(at))
			}
		}
	}
}

// Guards against sequences of faults of the platform, of connections and of processes after which a revoked key
// is admitted too long, a version decreases, or the fleet does not reach the newest version after the repair.
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
					time.Sleep(time.Second) // let the exchanges in progress end
				}()
				for step := range steps {
					if step%20 == 0 {
						f.injectFault()
					}
					i, j := f.random.IntN(size), f.random.IntN(size)
					there, back := time.Duration(f.random.IntN(400)), time.Duration(f.random.IntN(400))
					if !f.unreachable[i][j] {
						go f.exchange(f.sources[i], f.sources[j], there*time.Millisecond, back*time.Millisecond)
					}
					time.Sleep(50 * time.Millisecond)
					synctest.Wait()
					f.checkInvariants()
				}
				for i := range f.tables {
					f.tables[i].set(func(t *faultyTable) { t.down, t.delay = false, 0 })
				}
				time.Sleep(5 * time.Second)
				for i, source := range f.sources {
					if _, err := source.Authenticate(f.key); err != nil {
						t.Fatalf("instance %d refuses a valid key after the repair of all faults: %v", i, err)
					}
				}
			})
		})
	}
}
