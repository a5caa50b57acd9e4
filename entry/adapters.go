package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/chivetiller/chivetiller/allotment"
	"github.com/chivetiller/chivetiller/burn"
	"github.com/chivetiller/chivetiller/caller"
	"github.com/chivetiller/chivetiller/common/problem"
	"github.com/chivetiller/chivetiller/dispatch"
	"github.com/chivetiller/chivetiller/dispatch/connection"
	"github.com/chivetiller/chivetiller/endpoint"
	"github.com/chivetiller/chivetiller/metrics"
	"github.com/chivetiller/chivetiller/move"
	"github.com/chivetiller/chivetiller/peer"
	"github.com/chivetiller/chivetiller/pool"
)

// requestInstancesChanged is the kind of request that notifies a peer of changed instance rows.
const requestInstancesChanged = "instancesChanged"

// announceTimeout bounds the delivery of an announcement. Peers that it does not reach learn of the change from the rows.
const announceTimeout = time.Second

// permits adapts allotments to the interface of the dispatcher.
type permits struct{ holder *allotment.Holder }

var _ dispatch.Permits = permits{}

// Acquire implements [dispatch.Permits].
func (p permits) Acquire(team string) (dispatch.Permit, error) {
	permit, err := p.holder.Acquire(team)
	if err != nil {
		return nil, err
	}
	return permit, nil
}

// observer records requests and attempts in the metrics and the burn history.
type observer struct {
	recorder *burn.Recorder
	metrics  *metrics.Set
}

var (
	_ caller.Observer   = (*observer)(nil)
	_ dispatch.Observer = (*observer)(nil)
)

// RequestEnded implements [caller.Observer].
func (o *observer) RequestEnded(event caller.Event) {
	class := event.Class
	if class == "" {
		// Names that callers invent must not become labels.
		class = "unknown"
	}
	o.metrics.Request(class, event.Outcome, event.Duration)
	if outcome, ok := burnOutcome(event); ok && event.Class != "" {
		o.recorder.Record(event.Class, event.Team, outcome)
	}
}

// burnOutcome returns how a request counts in the burn report. It returns false for requests that do not count,
// because the fault is the caller's.
func burnOutcome(event caller.Event) (burn.Outcome, bool) {
	switch event.Outcome {
	case caller.OutcomeAnswered, caller.OutcomeStored:
		if event.Duration > event.Target {
			return burn.Late, true
		}
		return burn.Met, true
	case problem.UpperLimit.Name:
		return burn.Limited, true
	case problem.EndpointFailed.Name, problem.EndpointTimeout.Name, problem.Internal.Name:
		return burn.Failed, true
	case problem.OverShare.Name, problem.Late.Name, problem.NoEndpoint.Name, problem.QueueFull.Name, problem.Stopping.Name,
		problem.KeysUnchecked.Name, problem.ClaimsUnchecked.Name, problem.LimitsUnchecked.Name, problem.Overloaded.Name:
		return burn.Refused, true
	}
	return 0, false
}

// EndpointFault implements [dispatch.Observer].
func (o *observer) EndpointFault(_, _ string, kind connection.FaultKind) {
	o.metrics.Fault(string(kind))
}

// EndpointNotRun implements [dispatch.Observer].
func (o *observer) EndpointNotRun(_, _ string) { o.metrics.Fault("notRun") }

// Retry implements [dispatch.Observer].
func (o *observer) Retry(_, class string) { o.metrics.ExtraAttempt(class, "retry") }

// Hedge implements [dispatch.Observer].
func (o *observer) Hedge(_, class string) { o.metrics.ExtraAttempt(class, "hedge") }

// liveMembers returns this entry instance and those of the others that are not dead. Suspect and leaving ones
// count, since they still use their slots.
func (e *Entry) liveMembers() []endpoint.Member {
	members := []endpoint.Member{{ID: e.settings.Name(), DataCentre: e.settings.DataCentre()}}
	if e.node == nil {
		return members
	}
	for _, m := range e.node.Members() {
		if m.State != peer.Dead {
			members = append(members, endpoint.Member{ID: m.ID, DataCentre: m.DataCentre})
		}
	}
	return members
}

// announceChanges notifies this and the other entry instances without delay of instances that are leaving or serving again.
func (e *Entry) announceChanges(changed []pool.Instance) {
	e.directory.ApplyAnnouncement(changed)
	if e.node == nil {
		return
	}
	body, err := json.Marshal(changed)
	if err != nil {
		e.logger.Error("Announcement cannot be encoded.", "error", err)
		return
	}
	for _, m := range e.node.Members() {
		if m.State == peer.Dead {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
			defer cancel()
			if _, err := e.node.Request(ctx, m.ID, requestInstancesChanged, body); err != nil && !errors.Is(err, context.DeadlineExceeded) {
				e.logger.Debug("Announcement was not delivered.", "peer", m.ID, "error", err)
			}
		}()
	}
}

func (e *Entry) handleAnnouncement(_ context.Context, from peer.Member, body []byte) ([]byte, error) {
	var changed []pool.Instance
	if err := json.Unmarshal(body, &changed); err != nil {
		return nil, eris.Wrapf(err, "decode announcement of %s", from.ID)
	}
	e.directory.ApplyAnnouncement(changed)
	return nil, nil
}

// moveLoads returns the demand of each pool over all entry instances, for the planning of moves.
// The demand is the number of requests that wait or run: by Little's law, the arrival rate times the time in the system.
func (e *Entry) moveLoads() []move.Load {
	targets := make(map[string]time.Duration)
	for _, c := range e.source.Snapshot().Classes() {
		if target, ok := targets[c.Pool()]; !ok || c.Target() < target {
			targets[c.Pool()] = c.Target()
		}
	}
	fleet := e.fleetLoads()
	loads := make([]move.Load, 0, len(fleet))
	for name, l := range fleet {
		loads = append(loads, move.Load{Pool: name, Demand: float64(l.Queued + l.Running), Target: targets[name]})
	}
	return loads
}

// metricsSources returns the functions from which the metrics read current values.
func (e *Entry) metricsSources() metrics.Sources {
	return metrics.Sources{
		Pools: func() []metrics.PoolStats {
			loads := e.dispatcher.Loads()
			stats := make([]metrics.PoolStats, 0, len(loads))
			for _, l := range loads {
				stats = append(stats, metrics.PoolStats{Pool: l.Pool, Queued: l.Queued, Running: l.InFlight, FreeSlots: l.Free})
			}
			return stats
		},
		Clients: func() map[string]metrics.ClientStats {
			return map[string]metrics.ClientStats{"callers": e.caller.Clients().Metrics(), "operators": e.operator.Clients().Metrics()}
		},
		Teams: func() []metrics.TeamStats {
			teams := e.source.Snapshot().Teams()
			stats := make([]metrics.TeamStats, 0, len(teams))
			for _, t := range teams {
				usage := e.allotments.Usage(t.Name())
				stats = append(stats, metrics.TeamStats{Team: t.Name(), Held: usage.Held, Running: usage.InUse})
			}
			return stats
		},
		Config: func() metrics.ConfigStats {
			age, known := e.source.Age()
			return metrics.ConfigStats{Version: e.source.Snapshot().Version(), Age: age, Known: known}
		},
		Peers: func() map[string]int {
			states := make(map[string]int)
			if e.node == nil {
				return states
			}
			for _, m := range e.node.Members() {
				states[string(m.State)]++
			}
			return states
		},
		Duties:    func() int { return len(e.leases.HeldLeases()) },
		Instances: func() map[string]int { return e.directory.StateCounts() },
	}
}
