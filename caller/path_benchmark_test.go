package caller_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chivetiller/chivetiller/standin"
)

const (
	benchmarkEndpoints = 8
	benchmarkWorkers   = 64
	benchmarkTime      = 2 * time.Second
	benchmarkWindow    = 100 * time.Millisecond
)

// BenchmarkPath measures the request rate and latencies through one entry instance, and of the same client calling the
// endpoints directly, in one process and one run. Run it with -benchtime 1x.
func BenchmarkPath(b *testing.B) {
	r := newRig(b, rigOptions{endpoints: benchmarkEndpoints, endpoint: standin.Options{MaxRuns: 1000}, hedge: true, withoutObservers: true})
	r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchmarkWorkers, DisableCompression: true}}
	entry := func(int) string { return r.url("/work/swap/towers") }
	direct := func(worker int) string {
		return "http://" + r.endpoints[worker%benchmarkEndpoints].Address() + "/towers"
	}
	for range b.N {
		r.measureLoad(b, entry, 0, benchmarkTime/4)
		r.measureLoad(b, direct, 0, benchmarkTime/4)
		full := r.measureLoad(b, direct, 0, benchmarkTime)
		through := r.measureLoad(b, entry, 0, benchmarkTime)
		half := through.rate / 2
		directHalf := r.measureLoad(b, direct, half, benchmarkTime)
		throughHalf := r.measureLoad(b, entry, half, benchmarkTime)
		directOwn := r.measureLoad(b, direct, full.rate/2, benchmarkTime)
		b.ReportMetric(full.rate, "direct-req/s")
		b.ReportMetric(through.rate, "entry-req/s")
		b.ReportMetric(through.rate/full.rate, "rate-ratio(bound>=0.4)")
		b.ReportMetric(directHalf.quantile(50), "direct-half-p50-us")
		b.ReportMetric(throughHalf.quantile(50), "entry-half-p50-us")
		b.ReportMetric(directHalf.quantile(99), "direct-half-p99-us")
		b.ReportMetric(throughHalf.quantile(99), "entry-half-p99-us")
		b.ReportMetric(1.5*directHalf.quantile(99)+500, "half-p99-bound-us")
		b.ReportMetric(directHalf.medianQuantile(99), "direct-half-p99-median-us")
		b.ReportMetric(throughHalf.medianQuantile(99), "entry-half-p99-median-us")
		b.ReportMetric(1.5*directHalf.medianQuantile(99)+500, "half-p99-median-bound-us")
		b.ReportMetric(directOwn.quantile(99), "direct-own-half-p99-us")
		b.ReportMetric(directHalf.busy, "direct-half-busy")
		b.ReportMetric(throughHalf.busy, "entry-half-busy")
		b.ReportMetric(full.quantile(99), "direct-full-p99-us")
		b.ReportMetric(through.quantile(99), "entry-full-p99-us")
		b.ReportMetric(through.bytes-full.bytes, "entry-B/req")
		b.ReportMetric(through.allocs-full.allocs, "entry-allocs/req")
	}
}

// loadResult is the result of a phase of load.
type loadResult struct {
	rate, bytes, allocs float64
	// busy is the processor time used, as a fraction of that of GOMAXPROCS processors.
	busy    float64
	latency *hdrhistogram.Histogram
	// windows are the latencies of requests, by the benchmarkWindow in which each request was due.
	windows []*hdrhistogram.Histogram
}

// medianQuantile returns the median over all windows of a latency percentile, in microseconds. A pause of the machine
// affects only the windows in which it falls and not the median, both for the direct client and for the entry instance.
func (m loadResult) medianQuantile(percent float64) float64 {
	values := make([]float64, 0, len(m.windows))
	for _, w := range m.windows {
		values = append(values, float64(w.ValueAtQuantile(percent))/1e3)
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// quantile returns a percentile of the latency in microseconds.
func (m loadResult) quantile(percent float64) float64 {
	return float64(m.latency.ValueAtQuantile(percent)) / 1e3
}

// measureLoad sends requests from all workers. If the rate is 0, each worker sends as fast as it receives responses.
// At a given rate, the latency of a request that is sent late because its worker was busy is measured from the time when
// it was due, so that the wait is not hidden (coordinated omission). The delay of the timer that starts a request is
// not counted.
func (r *rig) measureLoad(b *testing.B, url func(worker int) string, rate float64, duration time.Duration) loadResult {
	b.Helper()
	const maxLatency = int64(10 * time.Second)
	total := hdrhistogram.New(1, maxLatency, 2)
	count := int(duration/benchmarkWindow) + 1
	newWindows := func() []*hdrhistogram.Histogram {
		windows := make([]*hdrhistogram.Histogram, count)
		for i := range windows {
			windows[i] = hdrhistogram.New(1, maxLatency, 2)
		}
		return windows
	}
	windows := newWindows()
	workerWindows := make([][]*hdrhistogram.Histogram, benchmarkWorkers)
	for worker := range workerWindows {
		workerWindows[worker] = newWindows()
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	used := processorTime()
	start := time.Now()
	for worker := range benchmarkWorkers {
		wg.Go(func() {
			target := url(worker)
			var interval time.Duration
			due := start
			if rate > 0 {
				interval = time.Duration(float64(benchmarkWorkers) / rate * float64(time.Second))
				due = start.Add(interval * time.Duration(worker) / benchmarkWorkers)
			}
			for time.Since(start) < duration {
				sent := time.Now()
				if rate > 0 && sent.Before(due) {
					time.Sleep(due.Sub(sent))
					sent = time.Now()
				} else if rate > 0 {
					sent = due
				}
				if err := r.benchmarkRequest(target, worker); err != nil {
					b.Error(err)
					return
				}
				_ = workerWindows[worker][int(sent.Sub(start)/benchmarkWindow)].RecordValue(int64(time.Since(sent)))
				due = due.Add(interval)
			}
			mu.Lock()
			defer mu.Unlock()
			for i, w := range workerWindows[worker] {
				windows[i].Merge(w)
				total.Merge(w)
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(start)
	runtime.ReadMemStats(&after)
	busy := (processorTime() - used).Seconds() / elapsed.Seconds() / float64(runtime.GOMAXPROCS(0))
	requests := float64(total.TotalCount())
	return loadResult{
		rate:    requests / elapsed.Seconds(),
		bytes:   float64(after.TotalAlloc-before.TotalAlloc) / requests,
		allocs:  float64(after.Mallocs-before.Mallocs) / requests,
		busy:    busy,
		latency: total,
		// The last window is left out because it has few requests.
		windows: windows[:count-1],
	}
}

var benchmarkBody = strings.Repeat("b", 256)

func (r *rig) benchmarkRequest(target string, worker int) error {
	request, err := http.NewRequest(http.MethodPost, target, strings.NewReader(benchmarkBody))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+r.key)
	request.Header.Set("Chivetiller-Request-Id", "direct")
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("worker %d: status %d", worker, response.StatusCode)
	}
	return nil
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
