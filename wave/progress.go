package wave

import (
	"time"

	"github.com/chivetiller/chivetiller/pool"
)

// PoolProgress is the progress of a wave in one pool.
type PoolProgress struct {
	Pool     string `json:"pool"`
	Size     int    `json:"size"`
	Rebooted int    `json:"rebooted"`
	Skipped  int    `json:"skipped"`
	Stopping int    `json:"stopping"`
	Failed   int    `json:"failed"`
	Pending  int    `json:"pending"`
	// Stuck means that too many stops failed, and that no new one begins until failed instances return.
	Stuck bool `json:"stuck"`
}

// Progress is the progress of a wave.
type Progress struct {
	Name  string         `json:"name"`
	State State          `json:"state"`
	Begun time.Time      `json:"begun"`
	Pools []PoolProgress `json:"pools"`
	// ExpectedEnd is extrapolated from the slowest pool. It is zero while it cannot be estimated: before the first
	// instance is done, and while the wave is paused or stuck in a pool.
	ExpectedEnd time.Time `json:"expectedEnd,omitzero"`
}

// Progress returns the progress of the wave at the time now, computed from the instance rows.
func (w Wave) Progress(now time.Time, rows []pool.Stored) Progress {
	out := Progress{Name: w.Name(), State: w.state, Begun: w.created}
	index := make(map[string]int)
	byPool := make(map[string][]pool.Stored)
	for _, row := range rows {
		if !w.Covers(row.Instance) {
			continue
		}
		i, ok := index[row.Pool]
		if !ok {
			i = len(out.Pools)
			index[row.Pool] = i
			out.Pools = append(out.Pools, PoolProgress{Pool: row.Pool})
		}
		out.Pools[i].countInstance(w, row.Instance)
		byPool[row.Pool] = append(byPool[row.Pool], row)
	}
	predictable := w.state == StateRunning
	var remaining time.Duration
	for i := range out.Pools {
		p := &out.Pools[i]
		p.Stuck = IsStuck(w.Members(byPool[p.Pool], func(string) bool { return true }))
		unfinished := p.Size - p.Rebooted - p.Skipped
		if unfinished == 0 {
			continue
		}
		// A stop in progress counts as half done.
		done := float64(p.Rebooted+p.Skipped) + float64(p.Stopping)/2
		if p.Stuck || done == 0 {
			predictable = false
			continue
		}
		remaining = max(remaining, time.Duration(float64(now.Sub(w.created))*(float64(p.Size)-done)/done))
	}
	if predictable && remaining > 0 {
		out.ExpectedEnd = now.Add(remaining)
	}
	return out
}

func (p *PoolProgress) countInstance(w Wave, in pool.Instance) {
	p.Size++
	switch {
	case in.Operation == w.Operation() && in.State == pool.StateFailed:
		p.Failed++
	case in.Operation == w.Operation():
		p.Stopping++
	case in.LastWave == w.Operation() && in.LastWaveResult == pool.ResultSkipped:
		p.Skipped++
	case in.LastWave == w.Operation():
		p.Rebooted++
	default:
		p.Pending++
	}
}
