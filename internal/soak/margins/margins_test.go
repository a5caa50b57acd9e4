package margins_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/internal/soak/margins"
	"github.com/chivetiller/chivetiller/internal/soak/promises"
)

// logged returns a line of a process as the output of a bench has it.
func logged(at float64, format string, args ...any) string {
	stamp := time.Date(2026, 6, 15, 11, 21, 0, 0, time.UTC).Add(time.Duration(at * float64(time.Second)))
	return fmt.Sprintf("%9.4f front-1 %s [INFO]  chivetiller.scheduler: ", at, stamp.Format("2006-01-02T15:04:05.000000000Z")) + fmt.Sprintf(format, args...) + "\n"
}

// begun is a service with two tasks on two of four workers, and another job.
func begun(accepted string) string {
	var b strings.Builder
	for i := range 4 {
		b.WriteString(logged(-12, "Worker was added.: node=front-1 worker=w%d pool=p address=10.0.0.%d:80 cpu=8000 born=1", i+1, i+1))
	}
	b.WriteString(logged(-6, `Job is accepted.: node=front-2 job=a queue=q team="" steps=1 %sconfig=2 took=1ms`, accepted))
	for i := range 2 {
		b.WriteString(logged(-5.5, "Task is started.: node=front-1 job=a task=0.0.%d run=1 worker=w%d cpu=6000 fence=7", i, i+1))
	}
	return b.String()
}

// unseen is begun without the first start of a task.
func unseen() string {
	return regexp.MustCompile(`(?m)^.*Task is started.*task=0\.0\.0 .*\n`).ReplaceAllString(begun(told), "")
}

// startsAs is starts with another run number.
func startsAs(at float64, run int) string {
	return strings.Replace(starts(at), "run=2", fmt.Sprint("run=", run), 1)
}

// startTogether starts both tasks in one line.
func startTogether(at float64) string {
	return logged(at, `Tasks are started.: node=front-1 job=a occurrence=0 step=0 starts="0:1@w1 1:1@w2" cpu=6000 fence=7`)
}

func exits(at float64) string {
	return logged(at, "Task has exited.: node=front-1 job=a task=0.0.0 run=1 worker=w1 how=failed ran=5s checkpoint=false")
}

func starts(at float64) string {
	return logged(at, "Task is started.: node=front-1 job=a task=0.0.0 run=2 worker=w1 cpu=6000 fence=7")
}

func removed(worker string) string {
	return logged(2, "Worker was removed.: node=front-1 worker=%s pool=p reason=gone", worker)
}

func waits(at float64, reason string) string {
	return logged(at, "Task of a service does not run.: node=front-1 job=a task=0.0.0 pool=p for=3.1s reason=%q cpu=6000", reason)
}

// summary is what a bench says of a disruption.
func summary(from, to float64, kind string) string {
	return fmt.Sprintf("     %.1f s to     %.1f s  %s 4 servers\n", from, to, kind)
}

const told = "serviceTasks=2 "

// TestMargins guards against a break that has a margin above 0, against times beside a disruption that count, and against reasons and times of
// belief of other waits.
func TestMargins(t *testing.T) {
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	end := logged(40, "Node was added.: node=front-1")
	tests := map[string]struct {
		log string
		// left is the smallest margin, and reason the one of the leader.
		left     time.Duration
		reason   string
		believed time.Duration
	}{
		"idle for 10 s in calm": {
			begun(told) + exits(2) + waits(5, "pause after the last run") + waits(8, "no eligible worker") + starts(18) + end,
			seconds(-7), "no eligible worker", 0,
		},
		"no reason": {begun(told) + exits(2) + starts(18) + end, seconds(-7), "not logged", 0},
		"waits 5.6 s for a lease": {
			begun(told) + logged(7, "Lease of the worker has expired.: node=front-1 worker=w1 pool=p contactAge=5s runs=1") +
				logged(7, `Task was lost.: node=front-1 job=a task=0.0.0 run=1 worker=w1 reason="the lease has expired" ran=12.5s`) + starts(7.6) + end,
			seconds(3.4), "not logged", seconds(5),
		},
		"during a disruption":    {begun(told) + exits(2) + waits(5, "no eligible worker") + starts(21) + end + summary(6, 22, "srv_crash"), 0, "", 0},
		"right after one":        {begun(told) + exits(2) + waits(5, "no eligible worker") + starts(11) + end + summary(6, 8, "srv_crash"), seconds(4), "no eligible worker", 0},
		"beside a wave":          {begun(told) + exits(2) + starts(11) + end + summary(0, 30, "wave"), 0, "not logged", 0},
		"after a disruption":     {begun(told) + exits(2) + starts(14) + end + summary(6, 8, "srv_crash"), seconds(1), "not logged", 0},
		"idle until the end":     {begun(told) + exits(2) + waits(6, "batch not stored") + end, seconds(-29), "batch not stored", 0},
		"cancelled":              {begun(told) + exits(2) + waits(6, "batch not stored") + logged(10, "Job was cancelled.: node=front-1 job=a") + end, seconds(1), "batch not stored", 0},
		"earlier build":          {begun("") + logged(5, "Task has exited.: node=front-1 job=a task=0.0.0 run=1 worker=w1 how=failed ran=10.5s") + starts(13) + end, seconds(1), "not logged", 0},
		"earlier build, no ends": {begun("") + exits(2) + logged(9, "Job has failed.: node=front-1 job=a step=0 index=0 failures=3") + end, 0, "", 0},
		"first start is dropped": {begun("serviceTasks=3 ") + end, 0, "", 0},
		"start is dropped":       {begun(told) + exits(2) + end, 0, "", 0},
		"start is dropped later": {begun(told) + exits(2) + starts(4) + strings.ReplaceAll(exits(6), "run=1", "run=2") + end, seconds(7), "not logged", 0},
		"whole line after a part": {
			begun(told) + strings.TrimSuffix(logged(1, "Task has exited.: node=front-1 job=a ta"), "\n") + exits(2) + starts(12) + end,
			seconds(-1), "not logged", 0,
		},
		"another leader takes over": {
			begun(told) + exits(2) + starts(3) + logged(5, "Leadership begins.: node=front-2 fence=9") +
				logged(8, "Lease of the worker has expired.: node=front-2 worker=w1 pool=p contactAge=4s runs=1") +
				logged(8, "Task was lost.: node=front-2 job=a task=0.0.0 run=2 worker=w1 ran=5s") + strings.ReplaceAll(starts(8.5), "run=2", "run=3") + end,
			seconds(4.5), "not logged", seconds(1),
		},
		"one task a worker": {
			strings.ReplaceAll(begun(told)+exits(2)+removed("w3")+removed("w4")+starts(14), "cpu=6000", "cpu=1000") + end, seconds(3), "not logged", 0,
		},
		"workers are taken": {
			begun(told) + strings.ReplaceAll(starts(0)+strings.ReplaceAll(starts(0), "w1", "w3"), "job=a", "job=b") + exits(2) + removed("w4") + starts(14) + end,
			seconds(3), "not logged", 0,
		},
		"first run unseen":                {unseen() + waits(10, "leases of a previous leader") + startsAs(12.5, 2001) + end, seconds(3.4), "leases of a previous leader", 0},
		"first run unseen, idle for long": {unseen() + waits(5, "no room on a worker") + startsAs(18, 2) + end, seconds(-7.1), "no room on a worker", 0},
		"first run unseen, never again":   {unseen() + waits(5, "no room on a worker") + end, seconds(-29.1), "no room on a worker", 0},
		"first run unseen, second seen":   {unseen() + startsAs(18, 2) + end, 0, "", 0},
		"first run unseen until its exit": {unseen() + exits(12) + starts(23) + end, seconds(-2), "not logged", 0},
		"adopted, first run unseen":       {unseen() + waits(3, "leases of a previous leader") + strings.Replace(startsAs(20, 1), "Task is started", "Running task was adopted", 1) + exits(22) + starts(32) + end, seconds(-1), "not logged", 0},
		"first start is late":             {unseen() + waits(3, "no room on a worker") + startTogether(9) + end, seconds(-12), "no room on a worker", 0},
		"loss is not logged":              {begun(told) + waits(9.1, "leases of a previous leader") + startsAs(20, 1001) + end, seconds(-5), "leases of a previous leader", seconds(14)},
		"loss is not logged, never again": {begun(told) + waits(9.1, "no worker in use") + waits(12.1, "no worker in use") + end, seconds(-25), "no worker in use", seconds(34)},
		"silent, then adopted": {
			begun(told) + waits(9.1, "leases of a previous leader") + strings.Replace(startsAs(10, 1), "Task is started", "Running task was adopted", 1) + exits(12) + starts(18.5) + end,
			seconds(2.5), "not logged", 0,
		},
		"another worker leaves": {
			begun(told) + exits(2) + logged(12, "Worker was removed.: node=front-1 worker=w4 pool=p reason=gone") + starts(18) + end, seconds(-7), "not logged", 0,
		},
		"earlier build, starts are missing": {
			begun("") + logged(5, "Task has exited.: node=front-1 job=a task=0.0.0 run=1 worker=w1 how=failed ran=10.5s") +
				logged(20, "Task has exited.: node=front-1 job=b task=0.0.0 run=1 worker=w3 how=done ran=1s") + end, 0, "", 0,
		},
		"earlier run exits late": {
			unseen() + startsAs(3, 2) + exits(4) + strings.Replace(exits(10), "run=1", "run=2", 1) + startsAs(20, 3) + end, seconds(-1), "not logged", 0,
		},
		"first start by a later leader": {unseen() + waits(3, "no room on a worker") + startsAs(9, 1001) + end, seconds(-0.1), "no room on a worker", 0},
		"first start by the later leader that saw the job accepted": {
			logged(-7, "Leadership begins.: node=front-1 fence=9 tenure=2") + unseen() + waits(3, "no room on a worker") + startsAs(9, 1001) + end, seconds(-12), "no room on a worker", 0,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var l margins.Log
			qt.Assert(t, l.Read(strings.NewReader(test.log), time.Time{}), qt.IsNil)
			play := margins.Of(l.History(), promises.DefaultBounds(), &l)
			list := play.Margins
			if test.reason == "" {
				qt.Assert(t, list, qt.HasLen, 0)
				return
			}
			qt.Assert(t, list, qt.HasLen, 1)
			qt.Assert(t, list[0].Task, qt.Equals, "a.0.0.0")
			qt.Assert(t, list[0].Left.Round(time.Millisecond), qt.Equals, test.left)
			qt.Assert(t, list[0].Reason, qt.Equals, test.reason)
			qt.Assert(t, play.Believed.Round(time.Millisecond), qt.Equals, test.believed)
		})
	}
}

// TestNotSeen guards against tasks that count as sound or as idle although no line says whether they run.
func TestNotSeen(t *testing.T) {
	var l margins.Log
	qt.Assert(t, l.Read(strings.NewReader(unseen()+logged(-6, "Job is accepted.: node=front-2 job=b queue=q serviceTasks=4")+starts(30)), time.Time{}), qt.IsNil)
	qt.Assert(t, margins.Of(l.History(), promises.DefaultBounds(), &l).String(), qt.Equals, "6 tasks that last, 0 of them with a margin, 4 not seen in the log\n")
}

// TestEarlierPlay guards against lines of an earlier play whose logs went to the same files.
func TestEarlierPlay(t *testing.T) {
	var l margins.Log
	log := strings.NewReader(regexp.MustCompile(`(?m)^.*? 2026`).ReplaceAllString(begun(told)+exits(2)+waits(9, "batch not stored")+starts(20), "2026"))
	qt.Assert(t, l.Read(log, time.Date(2026, 6, 15, 11, 21, 5, 0, time.UTC)), qt.IsNil)
	play := margins.Of(l.History(), promises.DefaultBounds(), &l)
	qt.Assert(t, play.Margins[0].Idle, qt.Equals, promises.Span{From: 4 * time.Second, To: 15 * time.Second})
}

// TestReport guards against disruptions of a report that are left out, and against ones that count twice, since the summary has them, too.
func TestReport(t *testing.T) {
	var l margins.Log
	name := filepath.Join(t.TempDir(), "report.json")
	qt.Assert(t, os.WriteFile(name, []byte(`{"events":[{"at_s":0,"to_s":26,"kind":"wave"},{"at_s":6.0,"to_s":8.0,"kind":"srv_crash"}]}`), 0o600), qt.IsNil)
	qt.Assert(t, l.ReadFile(name, time.Time{}), qt.IsNil)
	qt.Assert(t, l.Read(strings.NewReader(begun(told)+exits(2)+starts(14)+logged(40, "Node was added.: node=front-1")+summary(6, 8, "srv_crash")), time.Time{}), qt.IsNil)
	play := margins.Of(l.History(), promises.DefaultBounds(), &l)
	list := play.Margins
	qt.Assert(t, list, qt.HasLen, 1)
	qt.Assert(t, list[0].Left.Round(time.Millisecond), qt.Equals, time.Second)
}

// TestDescription guards against a list without the smallest margins or the longest belief, and against reasons in another order.
func TestDescription(t *testing.T) {
	play := margins.Play{Tasks: 8, Believed: time.Second, BelievedTask: "a7"}
	for i := range 7 {
		reason := []string{"batch not stored", "no room on a worker"}[i%2]
		play.Margins = append(play.Margins, margins.Margin{Task: fmt.Sprint("a", i), Left: time.Duration(i-1) * time.Second, Idle: promises.Span{To: time.Minute}, Reason: reason})
	}
	qt.Assert(t, play.String(), qt.Equals, `8 tasks that last, 7 of them with a margin
    margin  -1.000 s  task a0 idle from 0.000 s to 60.000 s: batch not stored
    margin   0.000 s  task a1 idle from 0.000 s to 60.000 s: no room on a worker
    margin   1.000 s  task a2 idle from 0.000 s to 60.000 s: batch not stored
    margin   2.000 s  task a3 idle from 0.000 s to 60.000 s: no room on a worker
    margin   3.000 s  task a4 idle from 0.000 s to 60.000 s: batch not stored
    taken for running while no worker ran it: task a7 for 1.000 s
`)
	qt.Assert(t, margins.ByReason(play.Margins), qt.Equals, "    margin  -1.000 s     4 tasks: batch not stored\n    margin   0.000 s     3 tasks: no room on a worker\n")
}
