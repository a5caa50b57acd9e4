// Command standin-2 plays one case of the second review against the program, with the stand-ins of the project's soak.
//
// Usage: standin-2 CASE RECORD. With TROUBLE=0 in the environment it does the same without the disruption. The exit code is 1 if the rule
// was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/promises"
	"github.com/chivetiller/chivetiller/internal/soak/world"
)

const (
	program = "target/chivetiller"
	service = "desk"
	// limit is how long a case may take.
	limit = 115 * time.Second
	// settleTime is how long a case waits after the start, until the leader has reached all workers.
	settleTime = 5 * time.Second

	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases lists the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(w *world.World, trouble bool) (broken bool, err error){
	"gang":      playGang,
	"restarted": playRestarted,
	"withdrawn": playWithdrawn,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, record string, trouble bool) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %s\n", name)
		return exitNotRun
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	// Each line is written at once, so that closing the file can lose none.
	defer func() { _ = file.Close() }()
	w, err := world.New(world.Options{Program: program, Record: file, Keep: os.Getenv("KEEP") != ""})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.Close()
	go w.CloseEarly(limit)
	w.Record("case %s, trouble %t", name, trouble)
	broken, err := f(w, trouble)
	switch {
	case err != nil:
		w.Record("the case could not run: %v", err)
		return exitNotRun
	case broken:
		w.Record("the rule was broken")
		return exitBroken
	}
	w.Record("the rule held")
	return exitHeld
}

// begin starts workers and processes, and waits until the leader has reached the workers.
func begin(w *world.World, workers int, queues ...world.Queue) error {
	if err := w.AddWorkers(workers, 3, service); err != nil {
		return err
	}
	w.Configure([]string{service}, queues...)
	if err := w.StartNodes(); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return nil
}

// atWork returns the number of tasks of a job that are at work.
func atWork(w *world.World, id string) int {
	n := 0
	for _, r := range w.Observed() {
		if r.Task.Job == id && r.Ended.IsZero() {
			n++
		}
	}
	return n
}

// failures returns the largest number of runs of a task that have ended as failed.
func failures(w *world.World, id string) int {
	counts, most := make(map[promises.Task]int), 0
	for _, r := range w.Observed() {
		if r.Task.Job == id && r.How == promises.Failed {
			counts[r.Task]++
			most = max(most, counts[r.Task])
		}
	}
	return most
}

// playGang lets one worker after the other crash while a gang is at work that needs all workers of its service, and then waits.
func playGang(w *world.World, trouble bool) (bool, error) {
	const (
		workers  = 9
		attempts = 3
		crashes  = 6
		id       = "00000000000000a1"
		// workTime is how long the gang has worked when a worker crashes, of the six seconds that it needs.
		workTime = 2500 * time.Millisecond
		downTime = time.Second
		waitTime = 35 * time.Second
	)
	q := world.NewQueue("q", service, attempts)
	if err := begin(w, workers, q); err != nil {
		return false, err
	}
	body := fmt.Sprintf(`{"spec":"run 6000","steps":[{"count":%d,"cpu":9000,"mem_mb":1024,"est_ms":6000,"all_or_none":true}]}`, workers)
	if !w.Submit(0, q.Prefix+id, body) {
		return false, errors.New("the job was not accepted")
	}
	began := time.Now()
	for n := 0; trouble && n < crashes; n++ {
		for atWork(w, id) < workers && time.Since(began) < 50*time.Second {
			time.Sleep(20 * time.Millisecond)
		}
		if atWork(w, id) < workers {
			break
		}
		time.Sleep(workTime)
		w.Workers()[n].Crash(downTime)
	}
	for until := time.Now().Add(waitTime); time.Now().Before(until); time.Sleep(time.Second) {
		state := w.State(q.Prefix + id)
		switch {
		case strings.Contains(state, "finished"):
			return false, nil
		case strings.Contains(state, "failed"):
			n := failures(w, id)
			w.Record("job %s is shown as failed; attempts is %d, and %d runs of a task have ended as failed", id, attempts, n)
			return n < attempts, nil
		}
	}
	w.Record("job %s is neither finished nor failed", id)
	return false, nil
}
