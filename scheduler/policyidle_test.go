package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/advice"
	"github.com/chivetiller/chivetiller/catalog"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/work"
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

// TestMalformedGrantIsAskedAgain guards against workers that count as denied for as long as tickets hold because their rows could not be read.
func TestMalformedGrantIsAskedAgain(t *testing.T) {
	r := newPolicyRig(t, 2)
	r.addService("s", 2, 1000)
	r.calm = r.now
	first := true
	for end := r.now + 15*time.Second; r.now < end; {
		r.idleRig.play(idleStep)
		for _, q := range r.core.TakePolicyQueries() {
			g := advice.Grant{Tickets: make(map[string]string), Valid: ticketsValid}
			if first {
				g.Malformed = len(q.Workers)
			} else {
				for _, id := range q.Workers {
					g.Tickets[id] = "ticket"
				}
			}
			first = false
			r.core.HandlePolicyReply(q, g, r.now, nil)
		}
	}
	qt.Assert(t, r.longest < maxIdle, qt.IsTrue, qt.Commentf("idle for %v", r.longest))
}

// TestTicketsOfWorkerThatIsBack guards against tickets of an earlier life of a worker that was removed and came back under its ID.
func TestTicketsOfWorkerThatIsBack(t *testing.T) {
	r := newPolicyRig(t, 3)
	s := r.addService("s", 3, 1000)
	r.play(time.Second)
	r.downSince["w1"] = r.now
	r.play(12 * time.Second)
	_, known := r.core.workers["w1"]
	qt.Assert(t, known, qt.IsFalse)
	_, ok := s.tickets.Ticket("w1", r.now)
	qt.Assert(t, ok, qt.IsFalse)
}

// TestServiceLeavesInstanceAfterTicketsExpired guards against a wave that waits for a service whose tickets have expired since it started.
func TestServiceLeavesInstanceAfterTicketsExpired(t *testing.T) {
	r := newIdleFleet(t, 3)
	r.core.SetCatalog(catalog.New(2, 0, []catalog.Queue{{
		Name: "q", Host: "h", Prefix: "/q/", Pool: "p", Attempts: 2, Stretch: 1.6, BaseTarget: 600 * time.Millisecond, Policy: &catalog.Policy{},
	}}, []catalog.Pool{{Name: "p"}}, nil))
	r.answer = func(InstanceCommand) instance.Outcome { return instance.Accepted }
	play := func(d time.Duration) {
		for end := r.now + d; r.now < end; {
			r.play(idleStep)
			for _, q := range r.core.TakePolicyQueries() {
				g := advice.Grant{Tickets: make(map[string]string), Valid: ticketsValid}
				for _, id := range q.Workers {
					g.Tickets[id] = "ticket"
				}
				r.core.HandlePolicyReply(q, g, r.now, nil)
			}
		}
	}
	r.addService("s", 1, 500)
	play(2 * time.Second)
	at := ""
	for id, runs := range r.runs {
		if len(runs) > 0 {
			at = id
		}
	}
	play(ticketsValid)
	r.core.AddWave(instance.Wave{Number: 1, Instances: []string{"m-" + at}, MaxDuration: 20 * time.Second, MaxUnavailable: 1}, nil)
	play(10 * time.Second)
	qt.Assert(t, r.core.fleet.waves[1].begun, qt.HasLen, 1)
}

// TestQueriesOfWaitingJobs guards against a query of each waiting job about each worker that joins.
func TestQueriesOfWaitingJobs(t *testing.T) {
	r := newPolicyRig(t, 4)
	for i := range 200 {
		r.addJob(work.Job{ID: fmt.Sprint("b", i), Queue: "q", Pool: "p", Steps: []work.Step{{Count: 1, Request: coresOnly(4), Estimate: time.Minute}}})
	}
	n := 0
	count := func(d time.Duration) {
		for end := r.now + d; r.now < end; {
			r.idleRig.play(idleStep)
			for _, q := range r.core.TakePolicyQueries() {
				n++
				g := advice.Grant{Tickets: make(map[string]string), Valid: ticketsValid}
				for _, id := range q.Workers {
					g.Tickets[id] = "ticket"
				}
				r.core.HandlePolicyReply(q, g, r.now, nil)
			}
		}
	}
	count(time.Second)
	qt.Assert(t, n <= 200, qt.IsTrue, qt.Commentf("%d queries at first", n))
	for i := range 5 {
		n = 0
		r.workers = append(r.workers, fmt.Sprint("n", i))
		count(time.Second)
		qt.Assert(t, n, qt.Equals, 0)
	}
}

// TestPlanOutlivesTicket guards against a start without a ticket, because that has expired while the plan was stored.
func TestPlanOutlivesTicket(t *testing.T) {
	r := newPolicyRig(t, 2)
	r.addService("s", 1, 1000)
	r.schedule()
	for _, q := range r.core.TakePolicyQueries() {
		g := advice.Grant{Tickets: map[string]string{"w0": "t", "w1": "t"}, Valid: time.Second}
		r.core.HandlePolicyReply(q, g, r.now, nil)
	}
	r.schedule()
	b := r.core.TakeBatch(batchRows)
	for range 30 {
		r.advance(idleStep)
		for _, id := range r.workers {
			r.renew(id)
		}
		r.schedule()
	}
	r.core.BatchStored(b)
	for _, cmd := range r.core.TakeCommands() {
		if cmd.Kind == CommandStart {
			qt.Assert(t, cmd.Start.Ticket, qt.Equals, "t")
		}
	}
}
