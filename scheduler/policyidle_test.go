package scheduler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/advice"
	"github.com/chivetiller/chivetiller/catalog"
)

// policyRig is an idleRig whose queue has a policy. It allows all workers but denied.
type policyRig struct {
	*idleRig
	denied map[string]bool
}

// ticketsValid is longer than the users let a task wait.
const ticketsValid = 20 * time.Second

func newPolicyRig(t *testing.T, workers int) *policyRig {
	r := &policyRig{idleRig: newIdleRig(t, workers), denied: make(map[string]bool)}
	r.core.SetCatalog(catalog.New(2, 0, []catalog.Queue{{
		Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Stretch: 1.6, BaseTarget: 600 * time.Millisecond, Policy: &catalog.Policy{},
	}}, []catalog.Pool{{Name: "p"}}, nil))
	return r
}

// play lets time pass, and answers queries.
func (r *policyRig) play(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.idleRig.play(idleStep)
		for _, q := range r.core.TakePolicyQueries() {
			g := advice.Grant{Tickets: make(map[string]string), Valid: ticketsValid}
			for _, id := range q.Workers {
				if !r.denied[id] {
					g.Tickets[id] = "ticket"
				}
			}
			r.core.HandlePolicyReply(q, g, r.now, nil)
		}
	}
}

// TestPolicyAsksAboutNewWorkers guards against a task of a service that waits for the end of the tickets of its step, because the worker with
// room could not be asked about when they were granted.
func TestPolicyAsksAboutNewWorkers(t *testing.T) {
	tests := map[string]func(r *policyRig){
		"worker joins": func(r *policyRig) {
			r.play(time.Second)
			r.downSince["w1"] = r.now
			r.workers = append(r.workers, "w2")
		},
		"worker answers later than the others": func(r *policyRig) {
			r.core.workers["w1"].startUnanswered = true
			r.pass()
			for _, q := range r.core.TakePolicyQueries() {
				g := advice.Grant{Tickets: make(map[string]string), Valid: ticketsValid}
				for _, id := range q.Workers {
					g.Tickets[id] = "ticket"
				}
				r.core.HandlePolicyReply(q, g, r.now, nil)
			}
		},
		"no worker was granted": func(r *policyRig) {
			r.denied["w0"], r.denied["w1"] = true, true
			r.workers = append(r.workers, "w2", "w3")
			r.downSince["w2"], r.downSince["w3"] = 0, 0
			r.play(time.Second)
			delete(r.downSince, "w2")
			delete(r.downSince, "w3")
		},
	}
	for name, disrupt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newPolicyRig(t, 2)
			r.addService("s", 2, 1000)
			disrupt(r)
			r.calm = r.now
			r.play(15 * time.Second)
			qt.Assert(t, r.longest < maxIdle, qt.IsTrue, qt.Commentf("idle for %v", r.longest))
		})
	}
}
