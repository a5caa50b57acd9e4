package series

import (
	"fmt"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/link"
	"github.com/chivetiller/chivetiller/internal/soak/promises"
	"github.com/chivetiller/chivetiller/internal/soak/world"
)

const (
	// changedWrites is the changed writes_per_s of a process.
	changedWrites = 500
	// linkDelay is the delay of each part of what a delayed link forwards.
	linkDelay = 150 * time.Millisecond
	// slowFactor is by how much the answers of a slow store take longer.
	slowFactor = 50
	// lostShare is the share of the writes whose answers are lost, or which are done late.
	lostShare = 0.3
	// maxLateWrite is how long after its call a write may be done.
	maxLateWrite = 6 * time.Second
)

// nodeDisruptions, workerDisruptions and storeDisruptions give the kind of disruption of each kind of fault. Stops and kills of processes,
// and departures of workers, are recorded where they happen.
var (
	nodeDisruptions = map[Kind]promises.Kind{
		PauseNode: promises.Frozen, PauseLeader: promises.Frozen, ReloadNode: promises.Reload, StorePartly: promises.Cut,
		StoreLinkSlow: promises.Delayed, StoreLinkReset: promises.Reset, StoreLinkTo: promises.Cut, StoreLinkFrom: promises.Cut,
		StoreLinkQuiet: promises.Reset, ClientLinkSlow: promises.Delayed, ClientReset: promises.Reset, ClientQuiet: promises.Reset,
	}
	workerDisruptions = map[Kind]promises.Kind{
		WorkerLinkSlow: promises.Delayed, WorkerReset: promises.Reset, WorkerLinkTo: promises.Cut, WorkerLinkFrom: promises.Cut,
		WorkerQuiet: promises.Reset, WorkerCrash: promises.Killed, WorkerPower: promises.Killed, WorkerFreeze: promises.Frozen,
		WorkerFails: promises.Unhealthy, WorkerLeaves: promises.Maintenance, WorkerLate: promises.LateCommand,
	}
	storeDisruptions = map[Kind]promises.Kind{
		StoreSlow: promises.Slow, StoreDown: promises.Down, StoreForgets: promises.Forgets, StoreLoses: promises.LosesAnswer,
		StoreLate: promises.LosesAnswer,
	}
	linkModes = map[Kind]link.Mode{
		StoreLinkReset: link.Reset, StoreLinkTo: link.CutTo, StoreLinkFrom: link.CutFrom, StoreLinkQuiet: link.Silent,
		WorkerReset: link.Reset, WorkerLinkTo: link.CutTo, WorkerLinkFrom: link.CutFrom, WorkerQuiet: link.Silent,
		ClientReset: link.Reset, ClientQuiet: link.Silent,
	}
)

// disturbLink disturbs a link for the duration of a fault.
func disturbLink(l *link.Link, f Fault) {
	if mode, ok := linkModes[f.Kind]; ok {
		l.Disturb(mode)
	} else {
		l.Delay(linkDelay)
	}
	time.Sleep(f.Duration)
	l.Restore()
}

func (p *player) disturbWorker(f Fault, ws *world.Worker) error {
	ended := p.w.History().Disrupt(workerDisruptions[f.Kind], ws.ID())
	defer ended()
	switch f.Kind {
	case WorkerCrash:
		ws.Crash(f.Duration)
	case WorkerPower:
		ws.LosePower(f.Duration)
	case WorkerFreeze:
		ws.Freeze(f.Duration)
	case WorkerFails:
		ws.SetFailing(true)
		time.Sleep(f.Duration)
		ws.SetFailing(false)
	case WorkerLate:
		ws.CarryOutLate(f.Duration)
		time.Sleep(f.Duration)
	case WorkerLeaves:
		return ws.Leave(p.nextID(ws))
	default:
		disturbLink(ws.Link(), f)
	}
	return nil
}

// nextID returns the ID of the worker that takes the place of another one.
func (p *player) nextID(ws *world.Worker) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lives++
	return fmt.Sprintf("%s-n%d", ws.Machine(), p.lives)
}

func (p *player) disturbStore(f Fault) {
	if f.Kind == Malformed {
		// It is no disruption: nothing excuses a promise that it breaks.
		p.w.SendMalformed(freeKey, mainQueue)
		return
	}
	ended := p.w.History().Disrupt(storeDisruptions[f.Kind], promises.Store)
	defer ended()
	s := p.w.Store()
	switch f.Kind {
	case StoreSlow:
		s.SetSlow(slowFactor)
		time.Sleep(f.Duration)
		s.SetSlow(1)
	case StoreDown:
		s.SetDown(true)
		time.Sleep(f.Duration)
		s.SetDown(false)
	case StoreForgets:
		s.Forget()
	case StoreLoses:
		s.SetLost(lostShare)
		time.Sleep(f.Duration)
		s.SetLost(0)
	case StoreLate:
		s.SetLate(lostShare)
		time.Sleep(f.Duration)
		s.SetLate(0)
		time.Sleep(maxLateWrite)
	}
}
