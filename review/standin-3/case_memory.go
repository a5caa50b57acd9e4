package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

const (
	// memoryLimit is memory_mb of the settings in bytes, above which the platform kills a process, and restartDelay the time until it is
	// started again.
	memoryLimit  = 284 << 20
	restartDelay = 300 * time.Millisecond
	// memoryRate is the number of large jobs a second, which is below the weight of the tenant, and memoryTasks the tasks of each.
	memoryRate  = 50
	memoryTasks = 2000
	memoryFor   = 30 * time.Second
	// memoryUsual is the time between two small jobs, and memoryAfter how long the processes are watched once the traffic has ended.
	memoryUsual = 250 * time.Millisecond
	memoryAfter = 55 * time.Second
	// minEnds is how often processes of a machine have to end, and minMachines on how many machines.
	minEnds     = 3
	minMachines = 2
)

// memoryCase has a tenant that submits jobs of many tasks, each of them legal, more than the workers can do at once. The platform kills
// processes that exceed their memory, and starts them again.
func memoryCase(w *World, trouble bool) ([]string, error) {
	q := newQueue("q", nil)
	if err := w.Begin(9, q); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	ends := make([]int, len(w.nodes))
	var watches, clients sync.WaitGroup
	for i, n := range w.nodes {
		watches.Go(func() { ends[i] = n.limitMemory(stop) })
	}
	begun := time.Now()
	for n := 0; time.Since(begun) < memoryFor; n++ {
		small := newJob(q, "run 300", Step{Resources: Resources{CPU: 1000, Memory: 512}, Count: 2, Estimate: 300})
		clients.Go(func() { w.Submit(n, small) })
		for range int(memoryRate * memoryUsual.Seconds()) {
			if trouble {
				large := newJob(q, "run 5000", Step{Resources: Resources{CPU: 1000, Memory: 512}, Count: memoryTasks})
				clients.Go(func() { w.Submit(n, large) })
			}
			time.Sleep(time.Second / memoryRate)
		}
		time.Sleep(time.Until(begun.Add(time.Duration(n+1) * memoryUsual)))
	}
	clients.Wait()
	w.Record("the traffic has ended")
	time.Sleep(time.Until(begun.Add(memoryFor + memoryAfter)))
	close(stop)
	watches.Wait()
	w.mu.Lock()
	accepted := 0
	for _, j := range w.jobs {
		if !j.Accepted.IsZero() {
			accepted++
		}
	}
	last := time.Time{}
	for _, r := range w.runs {
		if r.Begun.After(last) {
			last = r.Begun
		}
	}
	w.mu.Unlock()
	w.Record("%d jobs were submitted, %d accepted; the last run began %s ago", len(w.jobs), accepted, time.Since(last).Round(100*time.Millisecond))
	machines, total := 0, 0
	for i, n := range w.nodes {
		w.Record("process %s was over its memory %d times", n.name, ends[i])
		total += ends[i]
		if ends[i] >= minEnds {
			machines++
		}
	}
	if machines < minMachines {
		return nil, nil
	}
	return []string{fmt.Sprintf("Fault: on %d of %d machines processes were over their memory %d times or more, %d times in all", machines, len(w.nodes), minEnds, total)}, nil
}

// limitMemory kills the process whenever it exceeds its memory, starts it again, and returns how often that was.
func (n *Node) limitMemory(stop chan struct{}) (ends int) {
	for {
		select {
		case <-stop:
			return ends
		case <-time.After(50 * time.Millisecond):
		}
		used := n.memory()
		if used <= memoryLimit {
			continue
		}
		ends++
		n.w.Record("process %s has %d MB of memory in use", n.name, used>>20)
		n.Kill()
		time.Sleep(restartDelay)
		if err := n.Start(); err != nil {
			n.w.Record("process %s cannot be started: %v", n.name, err)
			return ends
		}
	}
}

// memory returns the anonymous memory of the process that is resident, in bytes. The pages of its program do not count.
func (n *Node) memory() int64 {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		if value, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			kb, err := strconv.ParseInt(string(bytes.TrimSpace(bytes.TrimSuffix(bytes.TrimSpace(value), []byte("kB")))), 10, 64)
			if err != nil {
				return 0
			}
			return kb << 10
		}
	}
	return 0
}
