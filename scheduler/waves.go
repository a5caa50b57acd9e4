package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/common/backoff"
	"github.com/chivetiller/chivetiller/instance"
	"github.com/chivetiller/chivetiller/internal/pools/absence"
	"github.com/chivetiller/chivetiller/internal/store/rowkeys"
	"github.com/chivetiller/chivetiller/store"
)

// wave is a request for maintenance and its progress.
type wave struct {
	doc instance.Wave
	// since is the time at which the wave became known.
	since time.Duration
	// begun holds the instances whose maintenance has begun, with the worker that ran on them before.
	begun map[string]string
	// acceptedAt holds the time at which the maintenance of an instance was accepted. Older lists do not show it.
	acceptedAt map[string]time.Duration
	// commandedAt holds the time of the latest maintenance command for an instance, and refusals the number of commands in a row that
	// the instance has not accepted.
	commandedAt map[string]time.Duration
	refusals    map[string]int
	// dropped holds the instances that do not belong to the wave according to the platform.
	dropped       map[string]bool
	unlisted      map[string]absence.Absence
	drainingSince map[string]time.Duration
	finished      bool
	// changed means that finished or since is not stored, and unstored lists the instances whose begun maintenance is not.
	changed  bool
	unstored []string
}

// WaveProgress is the stored progress of a wave.
type WaveProgress struct {
	Number int `cbor:"1,keyasint"`
	// Begun holds the instances whose maintenance has begun, with the worker that ran on them before. Each has a row of its own,
	// since the row of a large wave would be rewritten with each of them. Earlier versions stored them here.
	Begun    map[string]string `cbor:"2,keyasint,omitempty"`
	Finished bool              `cbor:"3,keyasint,omitempty"`
	// Since is the time at which the wave became known to the first leader that read it. In the stored row it is a time of the
	// store's clock, in memory a monotonic time of this process. 0 means not known.
	Since time.Duration `cbor:"4,keyasint,omitempty"`
}

// AddWave adds a request for maintenance with its stored progress, which may be nil.
func (c *Core) AddWave(doc instance.Wave, progress *WaveProgress) {
	if _, ok := c.fleet.waves[doc.Number]; ok {
		return
	}
	w := &wave{doc: doc, since: c.now, begun: make(map[string]string), acceptedAt: make(map[string]time.Duration), commandedAt: make(map[string]time.Duration), refusals: make(map[string]int), dropped: make(map[string]bool), unlisted: make(map[string]absence.Absence), drainingSince: make(map[string]time.Duration), changed: progress == nil}
	if progress != nil {
		for id, worker := range progress.Begun {
			w.begun[id] = worker
		}
		w.finished = progress.Finished
		if progress.Since != 0 {
			w.since = progress.Since
		}
	}
	c.fleet.waves[doc.Number] = w
	c.logger.Info("Wave was added.", "wave", doc.Number, "instances", len(doc.Instances), "maxDown", doc.MaxUnavailable, "finishBy", doc.MaxDuration, "begun", len(w.begun), "finished", w.finished)
}

// planWave drains instances of a wave and commands their maintenance, at most MaxUnavailable at a time.
func (c *Core) planWave(w *wave) {
	f := c.fleet
	down := 0
	for id := range w.begun {
		if c.inMaintenance(w, id) {
			down++
		}
	}
	unlisted, gone := 0, 0
	waiting := make([]string, 0, len(w.doc.Instances))
	for _, id := range w.doc.Instances {
		if _, started := w.begun[id]; started || w.dropped[id] {
			continue
		}
		inst, ok := f.instances[id]
		if !ok {
			if w.unlisted[id].Proven() {
				gone++
			} else {
				unlisted++
			}
			continue
		}
		waiting = append(waiting, id)
		at, commanded := w.commandedAt[id]
		if f.commandInFlight[id] || inst.State == instance.InMaintenance || (commanded && f.listedAt <= at+listLag) {
			down++
		} else if w.refusals[id] >= maxRefusals {
			c.postponeMaintenance(w, id)
		}
	}
	if len(waiting) == 0 {
		if !w.finished && unlisted == 0 {
			w.finished, w.changed = true, true
			c.logger.Info("Wave is finished.", "wave", w.doc.Number, "took", c.now-w.since, "instances", len(w.begun), "dropped", len(w.dropped), "gone", gone)
		}
		return
	}
	c.drainNext(w, waiting, min(w.doc.MaxUnavailable, c.waveParallelism(w, len(waiting)))-down)
	for _, id := range waiting {
		if down >= w.doc.MaxUnavailable {
			return
		}
		if c.startMaintenance(w, id) {
			down++
		}
	}
}

// inMaintenance reports whether an instance whose maintenance has begun may still be in it. A moving instance is not,
// since the platform moves no instance in maintenance. The list may be older than the command, even than one of a
// previous leader.
func (c *Core) inMaintenance(w *wave, id string) bool {
	f := c.fleet
	inst, ok := f.instances[id]
	if !ok {
		return !w.unlisted[id].Proven()
	}
	if inst.State != instance.Up && inst.State != instance.Moving {
		return true
	}
	if at, accepted := w.acceptedAt[id]; accepted {
		return f.listedAt <= at
	}
	at, previous := f.previousCommands[id]
	return previous && f.listedAt <= at+listLag
}

// recordAbsences notes which instances of the wave are lacking in a list that was requested at a time. It is not given lists that were
// requested before the wave was read: they may be older than its instances.
func (c *Core) recordAbsences(w *wave, at time.Duration) {
	for _, id := range w.doc.Instances {
		a, missing := w.unlisted[id]
		if _, listed := c.fleet.instances[id]; listed {
			if missing {
				delete(w.unlisted, id)
				c.logger.Info("Instance of a wave is listed again.", "wave", w.doc.Number, "instance", id, "missingFor", at-a.Since())
			}
			continue
		}
		began, gone := a.Record(at)
		if began {
			c.logger.Info("Instance of a wave is not listed.", "wave", w.doc.Number, "instance", id, "sinceWave", at-w.since)
		}
		if gone {
			c.logger.Warn("Instance of a wave does not exist.", "wave", w.doc.Number, "instance", id, "missingFor", at-a.Since())
		}
		w.unlisted[id] = a
	}
}

// waveParallelism returns how many instances of a wave to drain or maintain at a time: as few as are needed to finish in
// time, so that it takes no more capacity than it has to.
func (c *Core) waveParallelism(w *wave, waiting int) int {
	left := w.since + w.doc.MaxDuration - waveReserve - c.now
	each := c.options.Bounds.MaintenanceDuration + drainTime
	if left < each {
		return w.doc.MaxUnavailable
	}
	return int(math.Ceil(float64(waiting) * float64(each) / float64(left)))
}

const (
	// waveReserve is the time kept at the end of a wave for outages and for instances that take long to become empty. 5 s
	// is too short after outages in large deployments: one tenth more instances were late.
	waveReserve = 8 * time.Second
	// drainTime is how long an instance takes to become empty. Tasks take about a second.
	drainTime = 2 * time.Second
)

// drainNext cordons instances until limit instances are draining. An instance without a worker is drained even
// beyond the limit when it comes up as the emptiest one, and counts towards it.
func (c *Core) drainNext(w *wave, waiting []string, limit int) {
	draining := 0
	for _, id := range waiting {
		if _, ok := w.drainingSince[id]; ok {
			draining++
		}
	}
	for {
		id := c.emptiest(w, waiting)
		if id == "" || (draining >= limit && c.fleet.instances[id].Worker != "") {
			return
		}
		w.drainingSince[id] = c.now
		draining++
		if ws, ok := c.workers[c.fleet.instances[id].Worker]; ok {
			ws.cordon(id)
			c.logger.Info("Instance is draining for maintenance.", "wave", w.doc.Number, "instance", id, "worker", ws.report.ID, "runs", len(ws.runs))
		}
	}
}

// emptiest returns the instance that is not draining yet and has the fewest tasks, with a penalty for services. Instances that have
// not accepted their maintenance come last.
func (c *Core) emptiest(w *wave, waiting []string) string {
	best, bestRuns := "", 0
	for _, id := range waiting {
		if _, ok := w.drainingSince[id]; ok {
			continue
		}
		if _, moving := c.fleet.pendingMoves[id]; moving || c.fleet.instances[id].State != instance.Up || c.now < c.fleet.pausedUntil[id] {
			continue
		}
		runs := 0
		if ws, ok := c.workers[c.fleet.instances[id].Worker]; ok {
			runs = len(ws.runs) + servicePenalty*ws.services
		}
		if best == "" || cmp.Or(cmp.Compare(w.refusals[id], w.refusals[best]), cmp.Compare(runs, bestRuns)) < 0 {
			best, bestRuns = id, runs
		}
	}
	return best
}

// servicePenalty is the number of batch tasks that a service task counts for when instances are drained.
const servicePenalty = 10

// startMaintenance plans the maintenance command of an instance, if it is empty. It reports whether it planned one.
func (c *Core) startMaintenance(w *wave, id string) bool {
	f := c.fleet
	since, draining := w.drainingSince[id]
	if !draining || c.now < f.pausedUntil[id] || !c.mayCommand(id) {
		return false
	}
	if f.commandInFlight[id] {
		// The command in flight is counted already.
		return false
	}
	inst := f.instances[id]
	if inst.State != instance.Up {
		return false
	}
	if !c.isEmpty(inst) {
		if ws, ok := c.workers[inst.Worker]; ok {
			ws.cordon(id)
			c.evacuate(ws, c.now-since > drainTimeout)
			// After a command that did not begin the maintenance they would be evicted for nothing.
			if _, commanded := w.commandedAt[id]; !commanded && c.now >= w.since+w.doc.MaxDuration-waveReserve {
				c.evictServices(ws)
			}
		}
		return false
	}
	if ws, ok := c.workers[inst.Worker]; ok {
		// The worker may have joined after the instance began to drain.
		ws.cordon(id)
	}
	w.commandedAt[id] = c.now
	f.planCommand(c.now, InstanceCommand{Instance: id, Wave: w.doc.Number, worker: inst.Worker})
	c.logger.Info("Maintenance command was planned.", "wave", w.doc.Number, "instance", id, "worker", inst.Worker, "fence", c.options.Fence, "listAge", c.now-f.listedAt)
	return true
}

// recordRefusal records that an instance has not accepted its maintenance, and returns the pause before the next command.
func (c *Core) recordRefusal(w *wave, id string) time.Duration {
	if w == nil {
		return instanceRetryPause
	}
	w.refusals[id]++
	if w.refusals[id] == maxRefusals {
		c.logger.Warn("Instance of a wave has failed: it does not accept its maintenance.", "wave", w.doc.Number, "instance", id, "commands", w.refusals[id])
	}
	return backoff.Doubled(w.refusals[id], instanceRetryPause, maxInstanceRetryPause)
}

// postponeMaintenance returns a failed instance to service, so that the other instances of its wave have their turn first. It still
// has to be maintained before the wave is finished.
func (c *Core) postponeMaintenance(w *wave, id string) {
	if _, draining := w.drainingSince[id]; !draining || c.now >= c.fleet.pausedUntil[id] {
		return
	}
	delete(w.drainingSince, id)
	if ws, ok := c.workers[c.fleet.instances[id].Worker]; ok && !c.fleet.draining(id) {
		ws.cordoned = false
	}
}

// begunMaintenance records that the maintenance of an instance of a wave has begun, with the worker that ran on it before.
type begunMaintenance struct {
	wave             int
	instance, worker string
}

// key returns the key of the row that records it.
func (b begunMaintenance) key() store.Key {
	return rowkeys.Progress(rowkeys.WaveName(b.wave) + rowkeys.WaveInstanceSeparator + b.instance)
}

// rowsPerWave is the number of rows of a wave: its progress, and the status that the operator reads.
const rowsPerWave = 2

// takeChangedWaves returns the maintenance that has begun since the last call, and waves whose progress is not stored, in at most limit
// rows, of those that are admitted. A wave follows all its maintenance, since its progress may say that it is finished.
func (f *fleet) takeChangedWaves(limit int, admits func(store.Key) bool) (waves map[int]WaveProgress, begun []begunMaintenance) {
	waves = make(map[int]WaveProgress)
	for n, w := range f.waves {
		w.unstored = slices.DeleteFunc(w.unstored, func(id string) bool {
			b := begunMaintenance{wave: n, instance: id, worker: w.begun[id]}
			if limit <= 0 || !admits(b.key()) {
				return false
			}
			begun = append(begun, b)
			limit--
			return true
		})
		if w.changed && len(w.unstored) == 0 && limit >= rowsPerWave && admits(rowkeys.Progress(rowkeys.WaveName(n))) {
			waves[n] = WaveProgress{Number: n, Finished: w.finished, Since: w.since}
			w.changed = false
			limit -= rowsPerWave
		}
	}
	return waves, begun
}

// restoreWaves marks the progress of waves as not stored again.
func (f *fleet) restoreWaves(waves map[int]WaveProgress, begun []begunMaintenance) {
	for n := range waves {
		if w, ok := f.waves[n]; ok {
			w.changed = true
		}
	}
	for _, b := range begun {
		if w, ok := f.waves[b.wave]; ok {
			w.unstored = append(w.unstored, b.instance)
		}
	}
}
