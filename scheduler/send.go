package scheduler

import (
	"context"
	"time"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/worker"
)

// send gives an order to a worker.
func (e *Engine) send(o Order) {
	if o.run.tries > 0 {
		time.Sleep(orderPause)
	}
	// The duty is checked right before the order, since the process may have been suspended.
	if !e.Holds() {
		e.sleep(orderPause)
		e.post(func(c *Core) { c.Replied(o, worker.Reply{Outcome: worker.Unknown}, clock.Now(), ErrNotHolder) })
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, orderTimeout)
	defer cancel()
	sent := clock.Now()
	var reply worker.Reply
	var err error
	switch o.Kind {
	case OrderLook:
		status, err := e.o.Orders.Renew(ctx, o.Target, o.Renew)
		e.post(func(c *Core) { c.Observe(o.Target.ID, status, sent, err) })
		return
	case OrderStart:
		reply, err = e.o.Orders.Start(ctx, o.Target, o.Start)
	case OrderStop:
		reply, err = e.o.Orders.Stop(ctx, o.Target, o.Run)
	case OrderPace:
		reply, err = e.o.Orders.Throttle(ctx, o.Target, o.Run)
	}
	e.post(func(c *Core) { c.Replied(o, reply, sent, err) })
}

// forget removes the rows of jobs that ended long ago. Their progress goes last: a job without progress would run again.
func (e *Engine) forget(ids []string) {
	parts := make(map[string][]store.Key)
	for _, id := range ids {
		key := JobKey(id)
		parts[key.Partition] = append(parts[key.Partition], key, CancelKey(id))
	}
	for part, keys := range parts {
		ctx, cancel := context.WithTimeout(e.ctx, commitTimeout)
		_, err := e.o.Store.Commit(ctx, store.Tx{Removes: keys})
		cancel()
		if err != nil {
			e.logger.Warn("Rows of ended jobs were not removed.", "part", part, "rows", len(keys), "error", err)
			continue
		}
		var done []string
		for _, id := range ids {
			if jobPart(id) == part {
				done = append(done, id)
			}
		}
		e.post(func(c *Core) { c.Forgotten(done) })
	}
}

func (e *Engine) sendInstance(o InstanceOrder) {
	if !e.Holds() {
		e.post(func(c *Core) { c.InstanceReplied(o, instance.Refused, ErrNotHolder) })
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, instanceTimeout)
	defer cancel()
	claim := instance.Leader{Name: e.o.Name, Fence: e.o.Core.Fence}
	var outcome instance.Outcome
	var err error
	if o.Wave > 0 {
		outcome, err = e.o.Instances.Maintain(ctx, claim, o.Instance, o.Wave)
	} else {
		outcome, err = e.o.Instances.Move(ctx, claim, o.Instance, o.Pool)
	}
	e.post(func(c *Core) { c.InstanceReplied(o, outcome, err) })
}

func (e *Engine) sendQuestion(q Question) {
	ctx, cancel := context.WithTimeout(e.ctx, adviceTimeout)
	defer cancel()
	sent := clock.Now()
	grant, err := e.o.Advisor.Advise(ctx, q.Job, q.Occurrence, q.Step, q.Workers)
	e.post(func(c *Core) { c.Answered(q, grant, sent, err) })
}

// renew renews the lease of a worker until the worker is dropped.
func (e *Engine) renew(id string) {
	defer e.post(func(*Core) { delete(e.renewing, id) })
	for e.Holds() {
		r, known := e.nextRenewal(id)
		if !known || !e.Holds() {
			return
		}
		ctx, cancel := context.WithTimeout(e.ctx, r.Order.MaxWait+renewTimeout)
		sent := clock.Now()
		status, err := e.o.Orders.Renew(ctx, r.Target, r.Order)
		cancel()
		e.post(func(c *Core) { c.Observe(id, status, sent, err) })
		switch {
		case err != nil && r.Silent:
			e.sleep(silentPause)
		case err != nil:
			e.sleep(renewPause)
		}
	}
}

// nextRenewal returns the next renewal of a worker. It waits a while for ends that are not stored.
func (e *Engine) nextRenewal(id string) (r Renewal, known bool) {
	var stored chan struct{}
	look := func(c *Core) {
		r, known = c.Renewal(id)
		stored = e.stored
	}
	limit := clock.Now() + ackWait
	for {
		if err := e.ask(e.ctx, look); err != nil {
			return r, false
		}
		left := limit - clock.Now()
		if !known || !r.Pending || left <= 0 {
			return r, known
		}
		select {
		case <-stored:
		case <-time.After(left):
		case <-e.ctx.Done():
			return r, false
		}
	}
}

func (e *Engine) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-e.ctx.Done():
	}
}
