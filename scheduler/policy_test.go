package scheduler

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/advice"
	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/worker"
)

// TestPolicyFailures guards against queries to the policy service without a pause while it fails or grants tickets that cannot be used,
// and against a pause that outlasts the failure.
func TestPolicyFailures(t *testing.T) {
	const failing = 30 * time.Second
	grant := func(workers []string, valid time.Duration) advice.Grant {
		g := advice.Grant{Tickets: make(map[string]string), Valid: valid}
		for _, id := range workers {
			g.Tickets[id] = "ticket"
		}
		return g
	}
	tests := map[string]struct {
		reply   func(workers []string) (advice.Grant, error)
		outcome worker.Outcome
	}{
		"query fails": {reply: func([]string) (advice.Grant, error) { return advice.Grant{}, errors.New("connection refused") }},
		"tickets are expired": {reply: func(workers []string) (advice.Grant, error) {
			return grant(workers, 0), nil
		}},
		"tickets are rejected": {outcome: worker.NoTicket, reply: func(workers []string) (advice.Grant, error) {
			return grant(workers, time.Minute), nil
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1, "w1", "w2", "w3")
			r.core.SetCatalog(catalog.New(2, 0, []catalog.Queue{{
				Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Stretch: 1.6, BaseTarget: 600 * time.Millisecond, Policy: &catalog.Policy{},
			}}, []catalog.Pool{{Name: "p"}}, nil))
			r.addSteps("a", 3)
			healthy := r.now + failing
			queries, started := 0, 0
			for end := healthy + maxPolicyPause + time.Second; r.now < end; {
				r.advance(20 * time.Millisecond)
				for i := range 3 {
					r.reply(fmt.Sprint("w", i+1))
				}
				for _, cmd := range r.pass() {
					if r.now < healthy {
						r.core.HandleReply(cmd, worker.Reply{Outcome: test.outcome, Clock: r.now}, r.now, nil)
						continue
					}
					started++
					r.accept([]Command{cmd})
				}
				for _, q := range r.core.TakePolicyQueries() {
					if r.now < healthy {
						queries++
						g, err := test.reply(q.Workers)
						r.core.HandlePolicyReply(q, g, r.now, err)
						continue
					}
					r.core.HandlePolicyReply(q, grant(q.Workers, time.Minute), r.now, nil)
				}
			}
			qt.Assert(t, queries >= 10 && queries <= 25, qt.IsTrue, qt.Commentf("%d queries", queries))
			qt.Assert(t, started, qt.Equals, 3)
		})
	}
}
