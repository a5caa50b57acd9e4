package timeline

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const sample = `  0.1 front-2 2026-04-21T09:15:00.100000000Z [INFO]  chivetiller.scheduler: Task is started.: node=n2 job=a task=0.0.0 run=1 worker=w1
2026-04-21T09:15:00.000000000Z [INFO]  chivetiller.intake: Job is accepted.: node=n1 job=a queue=q
2026-04-21T09:15:00.200000000Z [INFO]  chivetiller.scheduler: Task is started.: node=n2 job=b task=0.0.0 run=1 worker=w1
2026-04-21T09:15:00.300000000Z [INFO]  chivetiller.scheduler: Tasks are started.: node=n2 job=a occurrence=0 step=1 starts="0:1@w2 1:1@w3" fence=7
2026-04-21T09:15:01.000000000Z [INFO]  chivetiller.scheduler: Worker has answered.: node=n2 worker=w3
2026-04-21T09:15:02.000000000Z [WARN]  chivetiller.scheduler: Worker does not answer.: node=n2 worker=w1 contactAge=2s
2026-04-21T09:15:02.500000000Z [WARN]  chivetiller.scheduler: Worker does not answer.: node=n2 worker=w9 contactAge=2s
2026-04-21T09:15:05.000000000Z [WARN]  chivetiller.scheduler: Task is lost.: node=n2 job=a task=0.0.0 run=1 worker=w1
another program
2026-04-21T09:15:09.000000000Z [WARN]  chivetiller.scheduler: Worker does not answer.: node=n2 worker=w1 contactAge=9s
`

// TestTimeline guards against events of other jobs in the timeline, and against a cause that is not the first one.
func TestTimeline(t *testing.T) {
	tl := New("a")
	qt.Assert(t, tl.Read(strings.NewReader(sample)), qt.IsNil)
	var out strings.Builder
	qt.Assert(t, tl.Write(&out), qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, `      0.000 s  INFO  n1                 Job is accepted.: node=n1 job=a queue=q
      0.100 s  INFO  n2                 Task is started.: node=n2 job=a task=0.0.0 run=1 worker=w1
      0.300 s  INFO  n2                 Tasks are started.: node=n2 job=a occurrence=0 step=1 starts="0:1@w2 1:1@w3" fence=7
      1.000 s  INFO  n2                 Worker has answered.: node=n2 worker=w3
>     2.000 s  WARN  n2                 Worker does not answer.: node=n2 worker=w1 contactAge=2s
      5.000 s  WARN  n2                 Task is lost.: node=n2 job=a task=0.0.0 run=1 worker=w1
`)
}

// TestLeadershipLines guards against a timeline without changes of the leader, also for logs of earlier builds, whose lines about
// leadership begin with "Duty ".
func TestLeadershipLines(t *testing.T) {
	const log = `2026-04-21T09:15:00.000000000Z [INFO]  chivetiller.intake: Job is accepted.: node=n1 job=a queue=q
2026-04-21T09:15:01.000000000Z [WARN]  chivetiller.member: Duty is lost.: node=n1 fence=7 reason="the row of the duty has another version"
2026-04-21T09:15:02.000000000Z [INFO]  chivetiller.member: Duty is taken.: node=n2 fence=9 tenure=2 before=n1 released=false
2026-04-21T09:15:03.000000000Z [WARN]  chivetiller.member: Leadership is lost.: node=n2 fence=9 reason="the leader row has another version"
2026-04-21T09:15:04.000000000Z [INFO]  chivetiller.member: Leadership is acquired.: node=n3 fence=12 tenure=3 before=n2 released=false
2026-04-21T09:15:05.000000000Z [INFO]  chivetiller.member: Node was added.: node=n3 address=n3:1 zone=z
2026-04-21T09:15:06.000000000Z [INFO]  chivetiller.scheduler: Job is finished.: node=n3 job=a
`
	tl := New("a")
	qt.Assert(t, tl.Read(strings.NewReader(log)), qt.IsNil)
	var out strings.Builder
	qt.Assert(t, tl.Write(&out), qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, `      0.000 s  INFO  n1                 Job is accepted.: node=n1 job=a queue=q
>     1.000 s  WARN  n1                 Duty is lost.: node=n1 fence=7 reason="the row of the duty has another version"
      2.000 s  INFO  n2                 Duty is taken.: node=n2 fence=9 tenure=2 before=n1 released=false
      3.000 s  WARN  n2                 Leadership is lost.: node=n2 fence=9 reason="the leader row has another version"
      4.000 s  INFO  n3                 Leadership is acquired.: node=n3 fence=12 tenure=3 before=n2 released=false
      6.000 s  INFO  n3                 Job is finished.: node=n3 job=a
`)
}

// TestField guards against values with spaces that end at the first one, and against fields whose name ends like another one's.
func TestField(t *testing.T) {
	e, ok := Parse(`2026-04-21T09:15:00.1Z [WARN]  chivetiller.scheduler: Task of a service does not run.: node=n job=a for=3.5s reason="no room on a worker" team=""`)
	qt.Assert(t, ok, qt.IsTrue)
	for name, want := range map[string]string{"reason": "no room on a worker", "job": "a", "for": "3.5s", "team": "", "son": "", "pool": ""} {
		qt.Assert(t, e.Field(name), qt.Equals, want, qt.Commentf(name))
	}
}

// TestPartOfALine guards against a line that is taken for the one whose beginning stands before it, where a log collector has read both in parts.
func TestPartOfALine(t *testing.T) {
	e, ok := Parse(`  0.1 n1 2026-04-21T09:15:00.1Z [INFO]  chivetiller.scheduler: Task is started.: node=n1 job=a ta  0.2 n2 2026-04-21T09:15:00.2Z [INFO]  chivetiller.intake: Job is accepted.: node=n2 job=b`)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, e.Text, qt.Equals, "Job is accepted.: node=n2 job=b")
	qt.Assert(t, e.Node, qt.Equals, "n2")
	qt.Assert(t, e.Prefix, qt.Matches, ".* ta  0.2 n2 ")
}

// TestSeveralStarts guards against runs of a line about several starts that are not told apart.
func TestSeveralStarts(t *testing.T) {
	e, ok := Parse(`2026-04-21T09:15:00.1Z [INFO]  chivetiller.scheduler: Tasks are started.: node=n1 job=a occurrence=2 step=1 starts="0:1@w1 17:3001@w9" cpu=500 fence=7`)
	qt.Assert(t, ok, qt.IsTrue)
	events := e.Split()
	qt.Assert(t, events, qt.HasLen, 2)
	qt.Assert(t, events[1].Text, qt.Equals, "Task is started.: node=n1 job=a task=2.1.17 run=3001 worker=w9 cpu=500 fence=7")
	qt.Assert(t, events[1].Split(), qt.DeepEquals, events[1:])
}

// TestNoJob guards against an empty timeline, instead of an error, for a job that no log line names.
func TestNoJob(t *testing.T) {
	tl := New("c")
	qt.Assert(t, tl.Read(strings.NewReader(sample)), qt.IsNil)
	qt.Assert(t, tl.Write(&strings.Builder{}), qt.ErrorMatches, `no log line names job "c"`)
}
