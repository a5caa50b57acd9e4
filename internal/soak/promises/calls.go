package promises

import (
	"slices"
	"time"
)

// outcome is what an answer shows of the configuration that a process applied.
type outcome int

const (
	unknownOutcome outcome = iota
	permitted
	noKey
	noQueue
)

func (c *call) outcome() outcome {
	switch status := c.answer.Status; {
	case status == 0, status == 429, status >= 500:
		return unknownOutcome
	case status == 401, status == 403:
		return noKey
	case status == 404:
		return noQueue
	}
	return permitted
}

// outcomes returns the outcomes that a configuration allows for a call.
func (c *configuration) outcomes(of *call) []outcome {
	queue, known := c.Queues[of.queue]
	var keyed bool
	for _, team := range c.Teams {
		keyed = keyed || slices.Contains(team.Keys, of.key)
	}
	switch {
	case !known && !keyed:
		return []outcome{noQueue, noKey}
	case !known:
		return []outcome{noQueue}
	case !keyed && !queue.Public:
		return []outcome{noKey}
	}
	return []outcome{permitted}
}

// fits returns the lowest and the highest configuration that allow the outcome of a call, out of those that were sent before its answer.
// It is false if there is none.
func (s *snapshot) fits(c *call) (lowest, highest int, ok bool) {
	for i := range s.configurations {
		config := &s.configurations[i]
		if config.sent > c.ended || !slices.Contains(config.outcomes(c), c.outcome()) {
			continue
		}
		if !ok {
			lowest, ok = config.Version, true
		}
		highest = config.Version
	}
	return lowest, highest, ok
}

// due returns the newest configuration that every process has to apply at a time, or nil.
func (s *snapshot) due(at moment, b Bounds) *configuration {
	for i, c := range slices.Backward(s.configurations) {
		if c.acked+b.Config < at {
			return &s.configurations[i]
		}
	}
	return nil
}

// wasOther reports whether a configuration before the one that is due treated a call differently.
func (s *snapshot) wasOther(c *call, due *configuration) bool {
	return slices.ContainsFunc(s.configurations, func(o configuration) bool {
		return o.Version < due.Version && !slices.Equal(o.outcomes(c), due.outcomes(c))
	})
}

func judgeConfiguration(s *snapshot, b Bounds, v *Verdict) {
	for i := range s.calls {
		c := &s.calls[i]
		due := s.due(c.begun, b)
		if due == nil || c.outcome() == unknownOutcome {
			continue
		}
		if s.wasOther(c, due) {
			v.Checked++
		}
		if _, highest, ok := s.fits(c); (!ok || highest < due.Version) && s.inTouch(c.process, c.begun, c.ended, b) {
			v.add(s, c.begun, "process %s answers %d on queue %s, begun %s after configuration %d was acknowledged, which does not allow that", c.process, c.answer.Status, c.queue, c.begun-due.acked, due.Version)
		}
	}
	for _, p := range s.incarnations {
		s.judgeForward(p, b, v)
	}
}

// slowedFactor stretches RollbackSlack for a process that a disruption has slowed.
const slowedFactor = 8

// judgeForward judges that one start of a process never applies an older configuration after a newer one.
func (s *snapshot) judgeForward(p incarnation, b Bounds, v *Verdict) {
	type effect struct {
		*call
		lowest, highest int
	}
	var effects []effect
	for i := range s.calls {
		c := &s.calls[i]
		if c.process != p.process || c.begun < p.begun || c.ended > p.ended || c.outcome() == unknownOutcome {
			continue
		}
		if lowest, highest, ok := s.fits(c); ok {
			effects = append(effects, effect{c, lowest, highest})
		}
	}
	for _, later := range effects {
		// seen is the earlier effect that rules out the most configurations.
		var seen effect
		for _, earlier := range effects {
			since := later.begun - earlier.ended
			settled := since > slowedFactor*b.RollbackSlack || since > b.RollbackSlack && s.inTouch(p.process, earlier.ended, later.begun, b)
			if earlier.lowest > seen.lowest && settled {
				seen = earlier
			}
		}
		i := slices.IndexFunc(s.configurations, func(c configuration) bool { return c.Version == seen.lowest })
		if i > 0 && s.wasOther(later.call, &s.configurations[i]) {
			v.Checked++
		}
		if seen.lowest > later.highest {
			v.add(s, later.begun, "process %s answers %d on queue %s as configuration %d has it, %s after an answer that only configuration %d allows", p.process, later.answer.Status, later.queue, later.highest, later.begun-seen.ended, seen.lowest)
		}
	}
}

func judgeKeys(s *snapshot, b Bounds, v *Verdict) {
	for i := range s.calls {
		c := &s.calls[i]
		due := s.due(c.begun, b)
		if due == nil || c.outcome() == unknownOutcome {
			continue
		}
		allowed, ever := false, false
		for j := range s.configurations {
			config := &s.configurations[j]
			if config.sent > c.ended || !slices.Contains(config.outcomes(c), permitted) {
				continue
			}
			ever = true
			allowed = allowed || config.Version >= due.Version
		}
		if allowed || !slices.Contains(due.outcomes(c), noKey) {
			continue
		}
		v.Checked++
		switch {
		case c.outcome() != permitted:
		case !ever:
			v.add(s, c.begun, "process %s answers %d on queue %s with a key that no configuration held", c.process, c.answer.Status, c.queue)
		case s.inTouch(c.process, c.begun, c.ended, b):
			v.add(s, c.begun, "process %s answers %d on queue %s with a key that was withdrawn %s before", c.process, c.answer.Status, c.queue, c.begun-due.acked)
		}
	}
}

func judgeWholeAnswers(s *snapshot, b Bounds, v *Verdict) {
	for i := range s.calls {
		c := &s.calls[i]
		if c.ended == never || c.answer.Status == 0 && !c.answer.BrokenOff || !s.duringPlanned(c, b) {
			continue
		}
		unplanned := func(d disruption) bool {
			return (d.target == c.process || d.target == Store) && d.kind != Planned && d.kind != Reload && d.kind != started
		}
		if !s.quiet(c.begun-b.Contact, c.ended, unplanned) {
			continue
		}
		v.Checked++
		if c.answer.BrokenOff && !c.answer.Unread && c.ended-c.begun > b.LossSlack {
			v.add(s, c.ended, "process %s broke off its answer to a call on queue %s after %s, while it was stopped or reloaded as planned", c.process, c.queue, c.ended-c.begun)
		}
	}
}

// duringPlanned reports whether a call ended during a planned stop or a reload of its process.
func (s *snapshot) duringPlanned(c *call, b Bounds) bool {
	const stopSlack = time.Second
	return slices.ContainsFunc(s.disruptions, func(d disruption) bool {
		switch {
		case d.target != c.process || c.ended < d.begun:
			return false
		case d.kind == Planned:
			return c.begun < d.ended && c.ended <= d.begun+b.Grace+stopSlack
		}
		return d.kind == Reload && c.begun <= d.begun+b.Config
	})
}
