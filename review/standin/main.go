// Command standin runs the scripts of the review. It starts processes of the project with the command of the deploy file, and stands
// for the platform, its workers, its operator and its clients on loopback addresses. Its record says what was sent, answered and run.
//
//	standin -case twice -record record.txt
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// recorder writes what happens to a file, with the time since the start of the case.
type recorder struct {
	start time.Time

	mu  sync.Mutex
	out io.Writer
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func readJSON(r *http.Request, to any) (size int, err error) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err
	}
	return len(data), json.Unmarshal(data, to)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails if the other side has given up.
	_, _ = w.Write(data)
}

// maxDuration is less than a script may take.
const maxDuration = 110 * time.Second

// closeEarly ends all processes when the case is interrupted or takes too long.
func (w *world) closeEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(maxDuration):
	}
	w.rec.add("case cannot run: it was interrupted or took too long")
	w.close()
	os.Exit(exitNotRun)
}

// cases lists the cases by name. Each reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"ack": caseAck, "lasting": caseLasting, "parts": caseParts, "reack": caseReack, "flap": caseFlap, "starve": caseStarve,
	"lost": caseLost, "twice": caseTwice, "waves": caseWaves, "budget": caseBudget,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "", "file of the record")
	flag.Parse()
	os.Exit(run(*name, *path))
}

func run(name, path string) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "there is no case of that name")
		return exitNotRun
	}
	out, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	code := runCase(f, &recorder{start: time.Now(), out: out}, name)
	if err := out.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return code
}

func runCase(f func(w *world, trouble bool) (broken bool, err error), rec *recorder, name string) int {
	w, err := newWorld(rec)
	if err != nil {
		rec.add("case cannot run: %v", err)
		return exitNotRun
	}
	defer w.close()
	go w.closeEarly()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption %t", name, trouble)
	broken, err := f(w, trouble)
	switch {
	case err != nil:
		rec.add("case cannot run: %v", err)
		return exitNotRun
	case broken:
		rec.add("the rule was broken")
		return exitBroken
	}
	rec.add("the rule held")
	return exitHeld
}
