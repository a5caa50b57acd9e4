package commands

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/duty"
	"github.com/chivetiller/chivetiller/history"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/standin"
	"github.com/chivetiller/chivetiller/wave"
)

const (
	// maxLeavingDelay is the time after its drain during which an endpoint may still get new work.
	maxLeavingDelay = 3 * time.Second
	// deskBudget is the availability budget of the pool: 50% of its six instances.
	deskBudget = 3
)

// recordingDriver is the driver of an endpoint's instance. It records the drains and reboots that the platform requests.
type recordingDriver struct {
	*standin.InstanceDriver
	id       string
	endpoint *standin.Endpoint

	mu     sync.Mutex
	events []driverEvent
}

// driverEvent is a drain, or a reboot with its start and end.
type driverEvent struct {
	drain              bool
	startedAt, endedAt time.Time
}

// Drain records a drain.
func (m *recordingDriver) Drain() {
	m.add(driverEvent{drain: true, startedAt: time.Now()})
	m.InstanceDriver.Drain()
}

// Reboot records a reboot.
func (m *recordingDriver) Reboot(incarnation uint64) error {
	at := time.Now()
	err := m.InstanceDriver.Reboot(incarnation)
	m.add(driverEvent{startedAt: at, endedAt: time.Now()})
	return err
}

func (m *recordingDriver) add(e driverEvent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events = append(m.events, e)
}

func (fleet *testFleet) startWave(t *testing.T) {
	table := fleet.platform.Table()
	rows, err := pool.NewStore(table).List(t.Context())
	qt.Assert(t, err, qt.IsNil)
	p, err := pool.New(pool.Spec{Name: "desk", MaxUnavailable: "50%"})
	qt.Assert(t, err, qt.IsNil)
	_, err = wave.NewStore(table).Create(t.Context(), wave.Spec{Name: "kernel", Notice: "100ms"}, time.Now(), []pool.Pool{p}, rows)
	qt.Assert(t, err, qt.IsNil)
}

// waveHolder returns the entry instance that holds the duty of the pool.
func (fleet *testFleet) waveHolder() int {
	names := []string{"north", "south", "harbour"}
	for i, name := range names {
		if holder := leaseHolder(fleet.platform.Table(), duty.PoolDuty("desk")); len(holder) > len(name) && holder[:len(name)] == name {
			return i
		}
	}
	return 0
}

// leaseHolder returns the name of the process that holds a duty, or "".
func leaseHolder(table provider.Table, name string) string {
	rows, err := table.Read(context.Background(), "lease/"+name)
	if err != nil || len(rows) == 0 {
		return ""
	}
	var row struct {
		Holder string `json:"holder"`
	}
	if json.Unmarshal(rows[0].Value, &row) != nil {
		return ""
	}
	return row.Holder
}

// checkWave builds a history of the drains, reboots and runs of the endpoints, and checks it against the models of the
// guarantees about planned stops.
func (fleet *testFleet) checkWave(t *testing.T) {
	o := &operationLog{start: fleet.results[0].sentAt.Add(-time.Minute)}
	reboots := 0
	for _, m := range fleet.drivers {
		m.mu.Lock()
		events := m.events
		m.mu.Unlock()
		for _, e := range events {
			if e.drain {
				o.add(history.PlannedStop{Pool: "desk", Instance: m.id}, nil, e.startedAt, e.startedAt)
				o.add(history.AnnounceLeave{Endpoint: m.id}, e.startedAt.Sub(o.start), e.startedAt, e.startedAt)
				continue
			}
			reboots++
			o.add(history.Shutdown{Endpoint: m.id}, nil, e.startedAt, e.startedAt)
			o.add(history.AcceptAgain{Endpoint: m.id}, nil, e.endedAt, e.endedAt)
			o.add(history.InstanceReturn{Pool: "desk", Instance: m.id}, nil, e.endedAt, e.endedAt)
		}
		for _, run := range m.endpoint.Runs() {
			o.add(history.WorkBegin{Endpoint: m.id, ID: run.RequestID}, nil, run.Start, run.Start)
			o.add(history.Dispatch{Endpoint: m.id}, run.Start.Sub(o.start), run.Start, run.Start)
			if !run.End.IsZero() {
				o.add(history.WorkEnd{Endpoint: m.id, ID: run.RequestID}, nil, run.End, run.End)
			}
		}
	}
	t.Logf("%d reboots, %d operations", reboots, len(o.list))
	qt.Check(t, reboots >= deskBudget, qt.IsTrue, qt.Commentf("only %d instances were rebooted", reboots))
	for _, model := range []history.Model{
		history.AvailabilityBudget(map[string]int{"desk": deskBudget}), history.Leaving(maxLeavingDelay), history.GracefulStop(),
	} {
		qt.Check(t, history.Check(model, o.list), qt.IsNil)
	}
}
