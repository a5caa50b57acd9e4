package cases

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/world"
)

// caseStarve lets small jobs come faster than the workers can run them, while a job with tasks that last waits.
func caseStarve(w *world.World, fault bool) (broken bool, err error) {
	if err := begin(w, 4, youngTime, world.NewQueue("q", service, 3), world.NewQueue("lasting", service, 3)); err != nil {
		return false, err
	}
	random := rand.New(rand.NewPCG(1, 2))
	gap := 400 * time.Millisecond
	if fault {
		gap = 40 * time.Millisecond
	}
	ticker := time.NewTicker(gap)
	defer ticker.Stop()
	begin := time.Now()
	sent := 0
	const id = "b000000000000001"
	var handed time.Time
	for range ticker.C {
		since := time.Since(begin)
		if since > 20*time.Second {
			break
		}
		if handed.IsZero() && since > 5*time.Second {
			body := `{"spec":"run 600000","steps":[{"count":1,"cpu":8000,"mem_mb":64,"est_ms":1000,"long_running":true}]}`
			if !w.Submit(0, "/lasting/"+id, body) {
				return false, fmt.Errorf("the lasting job was not accepted")
			}
			handed = time.Now()
		}
		n := sent
		sent++
		ms := 600 + random.IntN(800)
		go w.Submit(n%3, "/q/"+jobID(n), jobBody(fmt.Sprintf("run %d", ms), 4, time.Duration(ms)*time.Millisecond))
	}
	started := time.Duration(-1)
	for _, r := range w.Observed() {
		if r.Task.String() == id+".0.0.0" && (started < 0 || r.Begun.Sub(handed) < started) {
			started = r.Begun.Sub(handed)
		}
	}
	w.Record("the lasting task started after %v, %d small jobs sent", started, sent)
	return started < 0 || started > 7*time.Second, nil
}
