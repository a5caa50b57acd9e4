package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/advice"
	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/work"
)

// TestPolicyOfLargePool guards against a step that never runs, because the policy allows only workers that are never asked for.
func TestPolicyOfLargePool(t *testing.T) {
	var ids []string
	for i := range 150 {
		ids = append(ids, fmt.Sprintf("w%03d", i))
	}
	allowed := ids[140]
	r := newRig(t, 1, ids...)
	r.core.SetCatalog(catalog.New(2, 0, []catalog.Queue{{
		Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Stretch: 1.6, BaseTarget: 600 * time.Millisecond, Policy: &catalog.Policy{},
	}}, []catalog.Pool{{Name: "p"}}, nil))
	r.addJob(work.Job{ID: "s", Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: work.Resources{CPU: 1000}, Service: true}}})
	queries, asked, started := 0, make(map[string]bool), false
	for range 300 {
		r.advance(200 * time.Millisecond)
		for _, id := range ids {
			r.reply(id)
		}
		commands := r.pass()
		started = started || len(startsOf(commands)) > 0
		r.accept(commands)
		for _, q := range r.core.TakePolicyQueries() {
			queries++
			g := advice.Grant{Tickets: make(map[string]string), Valid: 3 * time.Second}
			for _, id := range q.Workers {
				asked[id] = true
				if id == allowed {
					g.Tickets[id] = "ticket"
				}
			}
			r.core.HandlePolicyReply(q, g, r.now, nil)
		}
	}
	t.Logf("%d queries in a minute about %d workers; waiting %v", queries, len(asked), r.core.Counts().WaitingTasks)
	qt.Assert(t, started, qt.IsTrue)
}
