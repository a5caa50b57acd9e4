package world

import (
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/promises"
)

// gangTimeout is gang_timeout_ms: how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// gangKey names one run of a gang.
type gangKey struct {
	job                      string
	occurrence, step, number int
}

// member is a member of a gang on a worker.
type member struct {
	ws  *Worker
	run *taskRun
}

// gang is a run of a step whose tasks work only together.
type gang struct {
	members map[int]member
	// done means that the work is done, so that the end of a member does not break the others.
	done bool
}

func keyOf(r promises.Run) gangKey {
	return gangKey{r.Task.Job, r.Task.Occurrence, r.Task.Step, r.Number}
}

// joinGang adds a member to its gang. The gang works once all members are present. It is called with the lock of the worker.
func (w *World) joinGang(ws *Worker, r *taskRun, size int, duration time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := keyOf(r.key)
	g := w.gangs[key]
	if g == nil {
		g = &gang{members: make(map[int]member)}
		w.gangs[key] = g
	}
	g.members[r.key.Task.Index] = member{ws, r}
	if len(g.members) < size {
		time.AfterFunc(gangTimeout, func() {
			w.mu.Lock()
			alone := len(g.members) < size
			w.mu.Unlock()
			if alone {
				ws.finish(r, promises.Alone)
			}
		})
		return
	}
	time.AfterFunc(duration, func() {
		w.mu.Lock()
		if len(g.members) < size {
			w.mu.Unlock()
			return
		}
		g.done = true
		members := make([]member, 0, size)
		for _, m := range g.members {
			members = append(members, m)
		}
		w.mu.Unlock()
		for _, m := range members {
			m.ws.finish(m.run, promises.Done)
		}
	})
}

// breakGang ends the other members of the gang of a run that has ended before its work was done.
func (w *World) breakGang(r promises.Run, how promises.How) {
	w.mu.Lock()
	defer w.mu.Unlock()
	g := w.gangs[keyOf(r)]
	if g == nil || g.done || how == promises.Alone {
		return
	}
	for index, m := range g.members {
		delete(g.members, index)
		if index != r.Task.Index {
			go m.ws.finish(m.run, promises.Broken)
		}
	}
}
