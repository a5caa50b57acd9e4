package scheduler

import (
	"context"
	"time"

	"github.com/chivetiller/chivetiller/common/clock"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/store"
	"github.com/chivetiller/chivetiller/work"
	"github.com/chivetiller/chivetiller/worker"
)

// sendCommand sends a command to a worker and posts the reply.
func (e *Engine) sendCommand(cmd Command) {
	if cmd.repeated {
		time.Sleep(commandPause)
	}
	// Leadership is checked right before sending, since the process may have been suspended.
	if !e.IsLeader() {
		e.sleep(commandPause)
		e.post(func(c *Core) { c.HandleReply(cmd, worker.Reply{Outcome: worker.Unknown}, clock.Now(), ErrNotLeader) })
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, commandTimeout)
	defer cancel()
	sent := clock.Now()
	var reply worker.Reply
	var err error
	switch cmd.Kind {
	case CommandPoll:
		status, err := e.options.Workers.Renew(ctx, cmd.Target, cmd.Renew)
		e.post(func(c *Core) { c.HandleStatus(cmd.call, status, sent, err) })
		return
	case CommandStart:
		reply, err = e.options.Workers.Start(ctx, cmd.Target, cmd.Start)
	case CommandStop:
		reply, err = e.options.Workers.Stop(ctx, cmd.Target, cmd.Run)
	case CommandThrottle:
		reply, err = e.options.Workers.Throttle(ctx, cmd.Target, cmd.Run)
	}
	e.post(func(c *Core) { c.HandleReply(cmd, reply, sent, err) })
}

// pruneJobs removes the rows of jobs that ended long ago. Their progress rows go last, since a job without progress would
// run again.
func (e *Engine) pruneJobs(ids []string) {
	byPartition := make(map[string][]store.Key)
	for _, id := range ids {
		key := rowkeys.Job(id)
		byPartition[key.Partition] = append(byPartition[key.Partition], key, rowkeys.Cancel(id))
	}
	for partition, keys := range byPartition {
		if err := e.removeRows(keys); err != nil {
			e.logger.Warn("Rows of ended jobs could not be removed.", "part", partition, "rows", len(keys), "error", err)
			continue
		}
		var done []string
		for _, id := range ids {
			if rowkeys.JobPartition(id) == partition {
				done = append(done, id)
			}
		}
		e.post(func(c *Core) { c.JobsPruned(done) })
	}
}

// pruneCancels removes the cancellations of jobs that have never been stored. Where one of them has been stored meanwhile, those of its
// partition stay until they are due again.
func (e *Engine) pruneCancels(ids []string) {
	byPartition := make(map[string][]string)
	for _, id := range ids {
		byPartition[rowkeys.JobPartition(id)] = append(byPartition[rowkeys.JobPartition(id)], id)
	}
	for partition, ids := range byPartition {
		var tx store.Tx
		for _, id := range ids {
			tx.Expected = append(tx.Expected, store.Expect{Key: rowkeys.Job(id)})
			tx.Removes = append(tx.Removes, rowkeys.Cancel(id))
		}
		ctx, cancel := context.WithTimeout(e.ctx, commitTimeout)
		_, err := e.options.Store.Commit(ctx, tx)
		cancel()
		if err != nil {
			e.logger.Warn("Cancellations without a job could not be removed.", "part", partition, "rows", len(tx.Removes), "error", err)
			continue
		}
		e.post(func(c *Core) { c.CancelsPruned(ids) })
	}
}

// removeRows removes rows that do not depend on each other.
func (e *Engine) removeRows(keys []store.Key) error {
	for _, tx := range store.Split(nil, keys, e.logRefusedRow) {
		ctx, cancel := context.WithTimeout(e.ctx, commitTimeout)
		_, err := e.options.Store.Commit(ctx, tx)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// logRefusedRow logs a row that the store refuses.
func (e *Engine) logRefusedRow(key store.Key, err error) {
	e.logger.Error("Row cannot be stored; it is left out of the batch.", "table", key.Table, "row", key.Name, "error", err)
}

// shortenJobs shortens the rows of jobs that have ended. The next leader reads the rows of all jobs before it starts anything, and most
// of them have ended. A row that is not shortened is only longer than necessary.
func (e *Engine) shortenJobs(ctx context.Context) {
	var jobs []work.Job
	if err := e.query(ctx, func(c *Core) { jobs = c.TakeJobsToShorten() }); err != nil {
		return
	}
	byPartition := make(map[string][]store.Put)
	for _, j := range jobs {
		value, err := rowkeys.EncodeJob(j)
		if err != nil {
			e.logger.Error("Row of an ended job cannot be encoded.", "job", j.ID, "error", err)
			continue
		}
		key := rowkeys.Job(j.ID)
		byPartition[key.Partition] = append(byPartition[key.Partition], store.Put{Key: key, Value: value})
	}
	for partition, puts := range byPartition {
		for _, tx := range store.Split(puts, nil, e.logRefusedRow) {
			if !e.IsLeader() {
				return
			}
			if _, err := e.options.Store.Commit(ctx, tx); err != nil {
				e.logger.Warn("Rows of ended jobs were not shortened.", "part", partition, "rows", len(tx.Puts), "error", err)
			}
		}
	}
}

func (e *Engine) sendInstanceCommand(cmd InstanceCommand) {
	if !e.IsLeader() {
		e.post(func(c *Core) { c.HandleInstanceReply(cmd, instance.Refused, ErrNotLeader) })
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, instanceTimeout)
	defer cancel()
	leader := instance.Leader{Name: e.options.Name, Fence: e.options.Core.Fence}
	var outcome instance.Outcome
	var err error
	if cmd.Wave > 0 {
		outcome, err = e.options.Instances.Maintain(ctx, leader, cmd.Instance, cmd.Wave)
	} else {
		outcome, err = e.options.Instances.Move(ctx, leader, cmd.Instance, cmd.Pool)
	}
	e.post(func(c *Core) { c.HandleInstanceReply(cmd, outcome, err) })
}

func (e *Engine) sendPolicyQuery(q PolicyQuery) {
	ctx, cancel := context.WithTimeout(e.ctx, adviceTimeout)
	defer cancel()
	sent := clock.Now()
	grant, err := e.options.Advisor.Advise(ctx, q.Job, q.Occurrence, q.Step, q.Workers)
	e.post(func(c *Core) { c.HandlePolicyReply(q, grant, sent, err) })
}

// renewLease keeps renewing the lease of a worker until the worker is removed.
func (e *Engine) renewLease(id string) {
	defer e.post(func(*Core) { delete(e.renewing, id) })
	for e.IsLeader() {
		r, known := e.nextRenewal(id)
		if !known || !e.IsLeader() {
			return
		}
		ctx, cancel := context.WithTimeout(e.ctx, r.Command.MaxWait+renewTimeout)
		sent := clock.Now()
		status, err := e.options.Workers.Renew(ctx, r.Target, r.Command)
		cancel()
		e.post(func(c *Core) { c.HandleStatus(r.call, status, sent, err) })
		switch {
		case err != nil && r.Unresponsive:
			e.sleep(unresponsivePause)
		case err != nil:
			e.sleep(renewPause)
		}
	}
}

// nextRenewal returns the next renewal of a worker. If exits are not stored yet, it waits for that for up to ackWait.
func (e *Engine) nextRenewal(id string) (r Renewal, known bool) {
	var stored chan struct{}
	next := func(c *Core) {
		e.updateConfirmation()
		r, known = c.Renewal(id)
		stored = e.batchStored
	}
	limit := clock.Now() + ackWait
	for {
		if err := e.query(e.ctx, next); err != nil {
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
