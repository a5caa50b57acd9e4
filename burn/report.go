package burn

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Windows are the windows of a report, shortest first. The last one is the window of the error budget.
var Windows = []Window{Window(5 * time.Minute), Window(time.Hour), Window(6 * time.Hour), Window(72 * time.Hour)}

// Window is the length of a window. Its text form is short, such as "5m" or "3d".
type Window time.Duration

// String returns the window in its largest whole unit.
func (w Window) String() string {
	switch d := time.Duration(w); {
	case d >= 24*time.Hour:
		return fmt.Sprintf("%dd", d/(24*time.Hour))
	case d >= time.Hour:
		return fmt.Sprintf("%dh", d/time.Hour)
	default:
		return fmt.Sprintf("%dm", d/time.Minute)
	}
}

// MarshalText implements [encoding.TextMarshaler].
func (w Window) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// UnmarshalText implements [encoding.TextUnmarshaler].
func (w *Window) UnmarshalText(text []byte) error {
	for _, known := range Windows {
		if known.String() == string(text) {
			*w = known
			return nil
		}
	}
	return eris.Errorf("window %q is not one of %v", text, Windows)
}

// longestWindow returns the length of the window of the error budget.
func longestWindow() time.Duration { return time.Duration(Windows[len(Windows)-1]) }

// Report says to what extent targets were met, up to a point in time.
type Report struct {
	At time.Time `json:"at"`
	// Rows holds, for each class, the row of the class as a whole (with an empty team) and then the rows of its
	// teams.
	Rows []Row `json:"rows"`
	// Gaps are the times in the longest window, from the first bucket on, about which nothing is known.
	Gaps []Gap `json:"gaps"`
	// Trend holds the burn rate of each class over time, for the chart.
	Trend []Trend `json:"trend"`
}

// Row is the attainment of a class, or of a team in a class.
type Row struct {
	Class     string         `json:"class"`
	Team      string         `json:"team,omitempty"`
	Objective float64        `json:"objective"`
	Windows   []WindowReport `json:"windows"`
	// BudgetLeft is the fraction of the error budget of the longest window that is left. It is negative if more
	// than the budget was used.
	BudgetLeft float64 `json:"budgetLeft"`
}

// WindowReport is the attainment over one window.
type WindowReport struct {
	Window   Window `json:"window"`
	Requests uint64 `json:"requests"`
	Met      uint64 `json:"met"`
	Late     uint64 `json:"late"`
	Failed   uint64 `json:"failed"`
	Refused  uint64 `json:"refused"`
	Limited  uint64 `json:"limited"`
	// Attainment is the fraction of requests that met the target. It is 1 without requests.
	Attainment float64 `json:"attainment"`
	// BurnRate is the fraction of requests that missed the target, divided by the fraction that the objective
	// allows to miss it. At a burn rate of 1 over the longest window the error budget is just used up.
	BurnRate float64 `json:"burnRate"`
	// Known is the fraction of the window that was recorded.
	Known float64 `json:"known"`
}

// Gap is a time about which nothing is known.
type Gap struct {
	From time.Time `json:"from"`
	To   time.Time `json:"to"`
}

// Trend is the burn rate of a class over time.
type Trend struct {
	Class  string  `json:"class"`
	Points []Point `json:"points"`
}

// Point is the burn rate over the bucket that starts at At.
type Point struct {
	At       time.Time `json:"at"`
	BurnRate float64   `json:"burnRate"`
}

// counts counts requests by outcome.
type counts [outcomeCount]uint64

// eligible returns the number of requests that count towards the objective.
func (c counts) eligible() uint64 { return c[Met] + c[Late] + c[Failed] + c[Refused] }

// mergedBucket holds the merged counts of one minute of all entry instances.
type mergedBucket map[seriesKey]counts

// NewReport merges the chunks of all entry instances. Objectives holds the objective of each class by name, as a
// fraction; classes that it lacks are left out.
func NewReport(now time.Time, objectives map[string]float64, chunks []Chunk) Report {
	now = now.UTC()
	buckets := mergeChunks(chunks, now.Add(-longestWindow()), now)
	report := Report{At: now, Gaps: findGaps(buckets, now)}
	for _, key := range seriesKeys(buckets, objectives) {
		report.Rows = append(report.Rows, newRow(now, key, objectives[key.class], buckets))
		if key.team == "" {
			report.Trend = append(report.Trend, newTrend(key, objectives[key.class], buckets))
		}
	}
	return report
}

// ClassWindow is the attainment of a class over one window.
type ClassWindow struct {
	Class string
	WindowReport
}

// ClassWindows reports on each class as a whole over one window. It costs less than a whole report.
func ClassWindows(now time.Time, window Window, objectives map[string]float64, chunks []Chunk) []ClassWindow {
	now = now.UTC()
	buckets := mergeChunks(chunks, now.Add(-time.Duration(window)), now)
	reports := make([]ClassWindow, 0, len(objectives))
	for class, objective := range objectives {
		reports = append(reports, ClassWindow{
			Class:        class,
			WindowReport: newWindowReport(now, window, seriesKey{class: class}, objective, buckets),
		})
	}
	return reports
}

// mergeChunks adds up the buckets of all chunks by minute. Each team also counts in its class as a whole.
func mergeChunks(chunks []Chunk, from, to time.Time) map[time.Time]mergedBucket {
	buckets := make(map[time.Time]mergedBucket)
	for _, chunk := range chunks {
		for _, bucket := range chunk.Buckets {
			start := bucket.Start.UTC()
			if !start.Add(bucketLength).After(from) || start.After(to) {
				continue
			}
			b := buckets[start]
			if b == nil {
				b = make(mergedBucket)
				buckets[start] = b
			}
			for _, s := range bucket.Series {
				b.add(seriesKey{class: s.Class, team: s.Team}, s.Counts)
				if s.Team != "" {
					b.add(seriesKey{class: s.Class}, s.Counts)
				}
			}
		}
	}
	return buckets
}

func (b mergedBucket) add(key seriesKey, more counts) {
	sum := b[key]
	for i, n := range more {
		sum[i] += n
	}
	b[key] = sum
}

// seriesKeys returns the series of the classes that have an objective, sorted by class and team.
func seriesKeys(buckets map[time.Time]mergedBucket, objectives map[string]float64) []seriesKey {
	seen := make(map[seriesKey]bool)
	for class := range objectives {
		seen[seriesKey{class: class}] = true
	}
	for _, b := range buckets {
		for key := range b {
			if _, ok := objectives[key.class]; ok {
				seen[key] = true
			}
		}
	}
	keys := make([]seriesKey, 0, len(seen))
	for key := range seen {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b seriesKey) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.team, b.team))
	})
	return keys
}

func newRow(now time.Time, key seriesKey, objective float64, buckets map[time.Time]mergedBucket) Row {
	row := Row{Class: key.class, Team: key.team, Objective: objective}
	for _, window := range Windows {
		row.Windows = append(row.Windows, newWindowReport(now, window, key, objective, buckets))
	}
	row.BudgetLeft = 1 - row.Windows[len(row.Windows)-1].BurnRate
	return row
}

func newWindowReport(now time.Time, window Window, key seriesKey, objective float64, buckets map[time.Time]mergedBucket) WindowReport {
	var sum counts
	known := 0
	from := now.Add(-time.Duration(window))
	for start, b := range buckets {
		if !start.Add(bucketLength).After(from) {
			continue
		}
		known++
		for i, n := range b[key] {
			sum[i] += n
		}
	}
	r := WindowReport{
		Window:   window,
		Requests: sum.eligible(),
		Met:      sum[Met],
		Late:     sum[Late],
		Failed:   sum[Failed],
		Refused:  sum[Refused],
		Limited:  sum[Limited],
		Known:    min(1, float64(known)/float64(time.Duration(window)/bucketLength)),
	}
	r.Attainment, r.BurnRate = attainment(sum, objective)
	return r
}

// attainment returns the fraction of requests that met the target, and the burn rate that follows from it.
func attainment(sum counts, objective float64) (met, burnRate float64) {
	total := sum.eligible()
	if total == 0 {
		return 1, 0
	}
	met = float64(sum[Met]) / float64(total)
	return met, float64(total-sum[Met]) / float64(total) / (1 - objective)
}

// findGaps returns the ranges of minutes without a bucket between the first bucket and now. The current minute is
// not recorded yet and so is no gap.
func findGaps(buckets map[time.Time]mergedBucket, now time.Time) []Gap {
	starts := sortedStarts(buckets)
	if len(starts) == 0 {
		return nil
	}
	var gaps []Gap
	expected := starts[0]
	for _, start := range append(starts, now.Truncate(bucketLength)) {
		if start.After(expected) {
			gaps = append(gaps, Gap{From: expected, To: start})
		}
		expected = start.Add(bucketLength)
	}
	return gaps
}

func newTrend(key seriesKey, objective float64, buckets map[time.Time]mergedBucket) Trend {
	trend := Trend{Class: key.class}
	for _, start := range sortedStarts(buckets) {
		_, rate := attainment(buckets[start][key], objective)
		trend.Points = append(trend.Points, Point{At: start, BurnRate: rate})
	}
	return trend
}

func sortedStarts(buckets map[time.Time]mergedBucket) []time.Time {
	starts := make([]time.Time, 0, len(buckets))
	for start := range buckets {
		starts = append(starts, start)
	}
	slices.SortFunc(starts, time.Time.Compare)
	return starts
}
