package entry

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"github.com/chivetiller/chivetiller/common/loop"
	"github.com/chivetiller/chivetiller/kernel"
	"github.com/chivetiller/chivetiller/peer"
	"github.com/chivetiller/chivetiller/queue"
)

const (
	// requestUsage is the kind of request that reports to a peer what teams have used.
	requestUsage = "usage"
	// usageInterval is the time between reports. With intervals of 500 ms or 1 s, entry instances act on outdated usage,
	// and the shares of teams over all entry instances are off by a quarter or more.
	usageInterval = 250 * time.Millisecond
	// usageBytesPerSecond limits the reports to all peers together. A report that would exceed it is skipped.
	usageBytesPerSecond = 4000
	// usageBurstBytes allows the largest report of a fleet with a few teams, which occurs only when pools are full.
	usageBurstBytes = 8000
)

// poolUsage is the usage of all teams in one pool.
type poolUsage struct {
	_     struct{} `cbor:",toarray"`
	Pool  string
	Teams []teamUsage
}

// teamUsage is the usage of a team in one class.
type teamUsage struct {
	_           struct{} `cbor:",toarray"`
	Class, Team string
	// Milliseconds is the slot time used.
	Milliseconds uint64
}

// usageReporter reports to peers what teams have used in pools with queued work.
type usageReporter struct {
	entry   *Entry
	limiter *rate.Limiter
	// lastAlive holds the IDs of the peers that were alive at the last report.
	lastAlive map[string]bool
}

func newUsageReporter(e *Entry) *usageReporter {
	return &usageReporter{entry: e, limiter: rate.NewLimiter(usageBytesPerSecond, usageBurstBytes), lastAlive: make(map[string]bool)}
}

func (u *usageReporter) service() kernel.Service {
	return loopService(serviceUsage, u, loop.New(loop.Every(usageInterval, u.sendUsage)), servicePeers, serviceDispatch)
}

// sendUsage sends one report to all peers that are alive or suspect, and drops the usage of those that no longer are.
func (u *usageReporter) sendUsage(ctx context.Context) {
	alive := make(map[string]bool)
	for _, m := range u.entry.node.Members() {
		if m.State == peer.Alive || m.State == peer.Suspect {
			alive[m.ID] = true
		}
	}
	for id := range u.lastAlive {
		if !alive[id] {
			u.entry.dispatcher.RemovePeer(id)
		}
	}
	u.lastAlive = alive
	body, err := encodeUsage(u.entry.dispatcher.Usage())
	if err != nil || len(body) == 0 || !u.limiter.AllowN(time.Now(), len(body)*len(alive)) {
		return
	}
	for id := range alive {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, usageInterval)
			defer cancel()
			// A lost report does no harm: reports contain totals, so the next one makes up for it.
			_, _ = u.entry.node.Request(ctx, id, requestUsage, body)
		}()
	}
}

// encodeUsage returns nil if there is no usage to report.
func encodeUsage(all map[string][]queue.Usage) ([]byte, error) {
	if len(all) == 0 {
		return nil, nil
	}
	pools := make([]poolUsage, 0, len(all))
	for name, list := range all {
		p := poolUsage{Pool: name, Teams: make([]teamUsage, 0, len(list))}
		for _, each := range list {
			p.Teams = append(p.Teams, teamUsage{Class: each.Class, Team: each.Team, Milliseconds: uint64(each.SlotTime.Milliseconds())})
		}
		pools = append(pools, p)
	}
	return cbor.Marshal(pools)
}

func decodeUsage(body []byte) (map[string][]queue.Usage, error) {
	var pools []poolUsage
	if err := cbor.Unmarshal(body, &pools); err != nil {
		return nil, err
	}
	all := make(map[string][]queue.Usage, len(pools))
	for _, p := range pools {
		list := make([]queue.Usage, 0, len(p.Teams))
		for _, t := range p.Teams {
			list = append(list, queue.Usage{Class: t.Class, Team: t.Team, SlotTime: time.Duration(t.Milliseconds) * time.Millisecond})
		}
		all[p.Pool] = list
	}
	return all, nil
}

func (e *Entry) handleUsage(_ context.Context, from peer.Member, body []byte) ([]byte, error) {
	all, err := decodeUsage(body)
	if err != nil {
		return nil, eris.Wrapf(err, "decode usage of %s", from.ID)
	}
	e.dispatcher.ObservePeerUsage(from.ID, all)
	return nil, nil
}
