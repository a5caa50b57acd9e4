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
	// slowFactor is by how much the answers of a slow store take longer.
	slowFactor = 50
	// lostShare is the share of the writes whose answers are lost, or which are done late.
	lostShare = 0.3
	// maxLateWrite is how long after its call a write may be done.
	maxLateWrite = 6 * time.Second
)

// disturbLink disturbs a link for the duration of a fault.
func disturbLink(l *link.Link, f Fault) {
	l.Disturb(rules[f.Kind].mode)
	time.Sleep(f.Duration)
	l.Restore()
}

func (p *player) disturbWorker(f Fault, ws *world.Worker) error {
	ended := p.w.History().Disrupt(rules[f.Kind].disruption, ws.ID())
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
	ended := p.w.History().Disrupt(rules[f.Kind].disruption, promises.Store)
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
