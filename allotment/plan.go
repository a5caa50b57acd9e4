package allotment

import "time"

// plan returns the record that this holder would write now, and whether that is worth a write.
func (h *Holder) plan(a *account, now time.Time) (record, bool) {
	r := a.record.clone()
	reclaimed := h.reclaim(a, r, now)
	changed := h.version > r.Version && a.limit != r.Limit
	if h.version > r.Version {
		r.Limit, r.Version = a.limit, h.version
	}
	own, listed := r.Holders[h.o.Holder]
	if h.stopping || a.limit <= 0 {
		return h.planReturn(a, r, listed, now)
	}
	published, publishedJobs := own.Want, own.JobsWant
	own.Want, own.JobsWant, own.Hold = a.want(), a.jobsWant, (h.o.LeaseDuration + h.o.MaxRun).Milliseconds()
	r.Holders[h.o.Holder] = own
	own.Amount = a.nextAmount(r, r.fair(), h.o.Holder)
	r.Holders[h.o.Holder] = own
	// A want that is published and above the amount is known to the peers. It is published again once it
	// has doubled. Other changes of it are left to the next renewal.
	lacking := own.Want > own.Amount && (published <= a.held || own.Want >= 2*published)
	renewal := !listed || own.JobsWant != publishedJobs || now.Sub(a.renewed) >= h.o.LeaseDuration/renewalsPerTerm
	return r, renewal || changed || reclaimed || lacking || own.Amount != a.held
}

// planReturn plans to give back all that is not in use.
func (h *Holder) planReturn(a *account, r record, listed bool, now time.Time) (record, bool) {
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
	return r, own.Amount < a.held || now.Sub(a.renewed) >= h.o.LeaseDuration/renewalsPerTerm
}

// reclaim removes the parts of holders whose renewal count has not changed for so long that nothing can run under them any more.
func (h *Holder) reclaim(a *account, r record, now time.Time) bool {
	reclaimed := false
	for name, s := range a.seen {
		if now.Sub(s.since) > r.Holders[name].hold()+h.o.Margin {
			delete(r.Holders, name)
			reclaimed = true
		}
	}
	return reclaimed
}

// nextAmount returns the amount to hold next, given the fair amounts.
func (a *account) nextAmount(r record, fair []given, holder string) int {
	held, free, own := a.held, r.Limit-r.sum(), 0
	for _, g := range fair {
		if g.name == holder {
			own = g.amount
		}
	}
	if own > held && free > 0 {
		return held + min(own-held, free)
	}
	// What is small is kept while no peer is far from its fair amount. Otherwise, parts of teams over
	// their limits would change with each change of a want.
	excess := held - own
	if excess <= 0 || free >= 0 && !urgent(r, fair, holder) && (excess <= held/4 || !lacks(r, holder)) {
		return held
	}
	// Permits of a part that was lost can be more than what is held now.
	return min(held, max(own, a.inUse))
}

// lacks reports whether other holders want more than they have.
func lacks(r record, holder string) bool {
	for name, p := range r.Holders {
		if name != holder && p.Want > p.Amount {
			return true
		}
	}
	return false
}

// urgent reports whether jobs wait, or another holder has less than half of its fair amount.
func urgent(r record, fair []given, holder string) bool {
	if r.jobsWant() > 0 {
		return true
	}
	for _, g := range fair {
		if g.name != holder && r.Holders[g.name].Amount < (g.amount+1)/2 {
			return true
		}
	}
	return false
}
