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
	// Stuck means that no new stop begins until failed instances return.
	Stuck bool `json:"stuck"`
}

// Progress is the progress of a wave.
type Progress struct {
	Name  string         `json:"name"`
	State State          `json:"state"`
	Begun time.Time      `json:"begun"`
	Pools []PoolProgress `json:"pools"`
	// ExpectedEnd is extrapolated from the slowest pool. It is zero while unknown: before the first
	// instance is done, and while the wave is paused or stuck in a pool.
	ExpectedEnd time.Time `json:"expectedEnd,omitzero"`
}

// Progress returns the progress of the wave over the instance rows.
func (w Wave) Progress(now time.Time, rows []pool.Stored) Progress {
	out := Progress{Name: w.Name(), State: w.state, Begun: w.begun}
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
		out.Pools[i].count(w, row.Instance)
		byPool[row.Pool] = append(byPool[row.Pool], row)
	}
	known := w.state == StateRunning
	var left time.Duration
	for i := range out.Pools {
		p := &out.Pools[i]
		p.Stuck = IsStuck(w.Members(byPool[p.Pool], func(string) bool { return true }))
		rest := p.Size - p.Rebooted - p.Skipped
		if rest == 0 {
			continue
		}
		// A stop in progress counts as half done.
		done := float64(p.Rebooted+p.Skipped) + float64(p.Stopping)/2
		if p.Stuck || done == 0 {
			known = false
			continue
		}
		left = max(left, time.Duration(float64(now.Sub(w.begun))*(float64(p.Size)-done)/done))
	}
	if known && left > 0 {
		out.ExpectedEnd = now.Add(left)
	}
	return out
}

func (p *PoolProgress) count(w Wave, in pool.Instance) {
	p.Size++
	switch {
	case in.Operation == w.Operation() && in.State == pool.StateFailed:
		p.Failed++
	case in.Operation == w.Operation():
		p.Stopping++
	case in.Done == w.Operation() && in.Result == pool.ResultSkipped:
		p.Skipped++
	case in.Done == w.Operation():
		p.Rebooted++
	default:
		p.Pending++
	}
}
