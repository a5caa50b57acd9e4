package timeline

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const sample = `  0.1 front-2 2026-04-21T09:15:00.100000000Z [INFO]  chivetiller.scheduler: Task is started.: node=n2 job=a task=0.0.0 run=1 worker=w1
2026-04-21T09:15:00.000000000Z [INFO]  chivetiller.intake: Job is accepted.: node=n1 job=a queue=q
2026-04-21T09:15:00.200000000Z [INFO]  chivetiller.scheduler: Task is started.: node=n2 job=b task=0.0.0 run=1 worker=w1
2026-04-21T09:15:02.000000000Z [WARN]  chivetiller.scheduler: Worker does not answer.: node=n2 worker=w1 contactAge=2s
2026-04-21T09:15:02.500000000Z [WARN]  chivetiller.scheduler: Worker does not answer.: node=n2 worker=w9 contactAge=2s
2026-04-21T09:15:05.000000000Z [WARN]  chivetiller.scheduler: Task is lost.: node=n2 job=a task=0.0.0 run=1 worker=w1
another program
2026-04-21T09:15:09.000000000Z [WARN]  chivetiller.scheduler: Worker does not answer.: node=n2 worker=w1 contactAge=9s
`

// TestTimeline guards against events of other jobs, and against a cause that is not the first one.
func TestTimeline(t *testing.T) {
	tl := New("a")
	qt.Assert(t, tl.Read(strings.NewReader(sample)), qt.IsNil)
	var out strings.Builder
	qt.Assert(t, tl.Write(&out), qt.IsNil)
	qt.Assert(t, out.String(), qt.Equals, `      0.000 s  INFO  n1                 Job is accepted.: node=n1 job=a queue=q
      0.100 s  INFO  n2                 Task is started.: node=n2 job=a task=0.0.0 run=1 worker=w1
>     2.000 s  WARN  n2                 Worker does not answer.: node=n2 worker=w1 contactAge=2s
      5.000 s  WARN  n2                 Task is lost.: node=n2 job=a task=0.0.0 run=1 worker=w1
`)
}

// TestNoJob guards against an empty answer for a job that no process knows.
func TestNoJob(t *testing.T) {
	tl := New("c")
	qt.Assert(t, tl.Read(strings.NewReader(sample)), qt.IsNil)
	qt.Assert(t, tl.Write(&strings.Builder{}), qt.ErrorMatches, `no log line names job "c"`)
}
