package cases

import (
	"errors"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/promises"
	"github.com/chivetiller/chivetiller/internal/soak/world"
)

// caseThreeLeaders cuts off the zone of the leader, and stops the next leader right after it has taken over.
func caseThreeLeaders(w *world.World, fault bool) (broken bool, err error) {
	const cutFor = 6100 * time.Millisecond
	if err := begin(w, 9, youngTime, world.NewQueue("q", service, 3)); err != nil {
		return false, err
	}
	body := `{"spec":"run 600000","steps":[{"count":9,"cpu":1000,"mem_mb":64,"est_ms":1000,"long_running":true,"max_per_server":2}]}`
	if !w.Submit(0, "/q/e000000000000001", body) {
		return false, errors.New("the job was not accepted")
	}
	var steps []step
	if fault {
		steps = append(steps, step{3 * time.Second, func() {
			first := w.Leader()
			w.SetCutZone(first.Zone())
			time.AfterFunc(cutFor, func() { w.SetCutZone("") })
			go stopNextLeader(w, first)
		}})
	}
	load(w, 16*time.Second, 60*time.Millisecond, jobBody("run 300", 4, 300*time.Millisecond), steps)
	time.Sleep(8 * time.Second)
	if fault && len(w.LeaderNames()) < 3 {
		return false, errors.New("there were fewer than three leaders")
	}
	return violates(w, promises.OneRun, promises.NoneAfterDone), nil
}

// stopNextLeader restarts the process that takes over from the first leader, right after that.
func stopNextLeader(w *world.World, first *world.Node) {
	for w.Leader() == first {
		time.Sleep(10 * time.Millisecond)
	}
	next := w.Leader()
	w.Record("process %s is the leader after %s", next.Name(), first.Name())
	time.Sleep(100 * time.Millisecond)
	if err := next.Restart(); err != nil {
		w.Record("process %s was not restarted: %v", next.Name(), err)
	}
}
