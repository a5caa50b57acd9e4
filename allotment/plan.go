package allotment

import "time"

// planRow returns the record that this holder would write now, and whether it differs enough to be written.
func (h *Holder) planRow(a *teamAllotment, now time.Time) (record, bool) {
	r := a.record.clone()
	reclaimed := h.reclaimExpired(a, r, now)
	changed := h.version > r.Version && a.limit != r.Limit
	if h.version > r.Version {
		r.Limit, r.Version = a.limit, h.version
	}
	own, listed := r.Holders[h.o.Holder]
	if h.stopping || a.limit <= 0 {
		return h.planReturn(a, r, listed, now)
	}
	published, publishedJobs := own.Want, own.JobsWant
	own.Want, own.JobsWant, own.ReclaimAfter = a.wantedAmount(), a.jobDemand, (h.o.LeaseDuration + h.o.MaxRun).Milliseconds()
	r.Holders[h.o.Holder] = own
	own.Amount = a.nextAmount(r, r.fairAmounts(), h.o.Holder)
	r.Holders[h.o.Holder] = own
	// Peers already know that this holder wants more if the published want exceeds the amount held. The want is
	// published again only when it has doubled. Other changes are published with the next renewal.
	needsMore := own.Want > own.Amount && (published <= a.held || own.Want >= 2*published)
	renewalDue := !listed || own.JobsWant != publishedJobs || now.Sub(a.renewedAt) >= h.o.LeaseDuration/renewalsPerDuration
	return r, renewalDue || changed || reclaimed || needsMore || own.Amount != a.held
}

// planReturn returns the record in which this holder returns all that is not in use, and whether to write it.
func (h *Holder) planReturn(a *teamAllotment, r record, listed bool, now time.Time) (record, bool) {
	if !listed {
		return r, false
	}
	if a.inUse == 0 {
		delete(r.Holders, h.o.Holder)
		return r, true
	}
	own := r.Holders[h.o.Holder]
	own.Want, own.Amount = 0, min(own.Amount, a.inUse)
	r.Holders[h.o.Holder] = own
	return r, own.Amount < a.held || now.Sub(a.renewedAt) >= h.o.LeaseDuration/renewalsPerDuration
}

// reclaimExpired removes the shares of holders whose renewal count has not changed for so long that none of their
// requests can still be running. It reports whether there were any.
func (h *Holder) reclaimExpired(a *teamAllotment, r record, now time.Time) bool {
	reclaimed := false
	for name, s := range a.peers {
		if now.Sub(s.firstReadAt) > r.Holders[name].reclaimAfter()+h.o.Margin {
			delete(r.Holders, name)
			reclaimed = true
		}
	}
	return reclaimed
}

// nextAmount returns the amount to hold next, given the fair amounts.
func (a *teamAllotment) nextAmount(r record, fair []fairAmount, holder string) int {
	held, free, own := a.held, r.Limit-r.total(), 0
	for _, g := range fair {
		if g.name == holder {
			own = g.amount
		}
	}
	if own > held && free > 0 {
		return held + min(own-held, free)
	}
	// A small excess is kept while every peer has nearly its fair amount. Otherwise, the allotments of teams that
	// are over their limits would change each time that a holder changes what it wants.
	excess := held - own
	if excess <= 0 || free >= 0 && !isReturnUrgent(r, fair, holder) && (excess <= held/4 || !peersLack(r, holder)) {
		return held
	}
	// Permits of an allotment that was lost can still be in use, so inUse can exceed held.
	return min(held, max(own, a.inUse))
}

// peersLack reports whether other holders want more than they have.
func peersLack(r record, holder string) bool {
	for name, p := range r.Holders {
		if name != holder && p.Want > p.Amount {
			return true
		}
	}
	return false
}

// isReturnUrgent reports whether jobs are waiting, or another holder has less than half of its fair amount.
func isReturnUrgent(r record, fair []fairAmount, holder string) bool {
	if r.jobDemand() > 0 {
		return true
	}
	for _, g := range fair {
		if g.name != holder && r.Holders[g.name].Amount < (g.amount+1)/2 {
			return true
		}
	}
	return false
}
