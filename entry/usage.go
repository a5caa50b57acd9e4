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
	// usageReport is the message with which peers tell each other what teams have used.
	usageReport = "usage"
	// usageInterval is short because shares over all entry instances deviate by a quarter and more at 500 ms and 1 s.
	usageInterval = 250 * time.Millisecond
	// usageBytes bounds the reports of usage to all peers in bytes a second. Rounds beyond it are left out.
	usageBytes = 4000
	// usageBurst allows the largest round of a fleet with a few teams, which only full pools have.
	usageBurst = 8000
)

// poolUsage is what teams have used in one pool.
type poolUsage struct {
	_     struct{} `cbor:",toarray"`
	Pool  string
	Teams []teamUsage
}

// teamUsage is what a team has used in a class.
type teamUsage struct {
	_           struct{} `cbor:",toarray"`
	Class, Team string
	// Milliseconds is the slot time.
	Milliseconds uint64
}

// usageSharer tells peers what teams have used in pools where work waits.
type usageSharer struct {
	entry   *Entry
	limiter *rate.Limiter
	// known holds the peers that were alive in the last round.
	known map[string]bool
}

func newUsageSharer(e *Entry) *usageSharer {
	return &usageSharer{entry: e, limiter: rate.NewLimiter(usageBytes, usageBurst), known: make(map[string]bool)}
}

func (u *usageSharer) service() kernel.Service {
	return loopService(serviceUsage, u, loop.New(loop.Every(usageInterval, u.share)), servicePeers, serviceDispatch)
}

// share sends one round to all peers that are alive.
func (u *usageSharer) share(ctx context.Context) {
	alive := make(map[string]bool)
	for _, m := range u.entry.node.Members() {
		if m.State == peer.Alive || m.State == peer.Suspect {
			alive[m.ID] = true
		}
	}
	for id := range u.known {
		if !alive[id] {
			u.entry.dispatcher.RemovePeer(id)
		}
	}
	u.known = alive
	body, err := encodeUsage(u.entry.dispatcher.Usage())
	if err != nil || len(body) == 0 || !u.limiter.AllowN(time.Now(), len(body)*len(alive)) {
		return
	}
	for id := range alive {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, usageInterval)
			defer cancel()
			// A lost report is made up for by the next one, which has the sums.
			_, _ = u.entry.node.Request(ctx, id, usageReport, body)
		}()
	}
}

// encodeUsage returns nothing if there is no usage to tell.
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
		return nil, eris.Wrapf(err, "usage of %s", from.ID)
	}
	e.dispatcher.ObservePeerUsage(from.ID, all)
	return nil, nil
}
