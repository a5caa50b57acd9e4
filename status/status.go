// Package status tells in one screen whether targets are met, which pools are short, which waves run,
// and which entry instances are cut off.
//
// # Usage
//
//	report := status.NewReport(status.Inputs{Now: time.Now(), Entry: "north-1", ...})
//	err := status.Write(os.Stdout, report, status.DefaultRows)
//
// Lists are sorted so that what needs attention comes first, since a fleet can have hundreds of pools.
package status

import (
	"cmp"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/burn"
	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/pool"
	"github.com/chivetiller/chivetiller/wave"
)

// Window is the window over which classes are judged.
var Window = burn.Windows[0]

// Load is the load of a pool over all entry instances that are heard of.
type Load struct {
	Queued  int
	Running int
	// Slots counts those that entry instances may use.
	Slots int
}

// Entry is an entry instance.
type Entry struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// State is alive, suspect, dead or leaving.
	State   string `json:"state"`
	Version uint64 `json:"version"`
	// SinceLastContact is the time since the last message, in seconds.
	SinceLastContact float64 `json:"heardSeconds"`
}

// Inputs are what a report is made of.
type Inputs struct {
	Now time.Time
	// Entry is the entry instance that makes the report.
	Entry         string
	Platform      string
	ConfigVersion uint64
	// ConfigAge is the time since the configuration was certainly current; it has no meaning unless ConfigConfirmed.
	ConfigAge       time.Duration
	ConfigConfirmed bool
	// KeysAdmitted says whether keyed work is admitted now.
	KeysAdmitted bool
	Entries      []Entry
	Classes      []class.Class
	Pools        []pool.Pool
	Rows         []pool.Stored
	Loads        map[string]Load
	Waves        []wave.Progress
	// BurnHistory are the burn history of the window.
	BurnHistory []burn.Chunk
}

// Report is the state of the fleet as one entry instance sees it.
type Report struct {
	At            time.Time `json:"at"`
	Entry         string    `json:"entry"`
	Platform      string    `json:"platform"`
	ConfigVersion uint64    `json:"configVersion"`
	// ConfigAge is in seconds. It is absent if the configuration was never confirmed.
	ConfigAge    *float64        `json:"configAgeSeconds,omitempty"`
	KeysAdmitted bool            `json:"keysAdmitted"`
	Entries      []Entry         `json:"entries"`
	Classes      []ClassStatus   `json:"classes"`
	Pools        []PoolStatus    `json:"pools"`
	Waves        []wave.Progress `json:"waves"`
}

// ClassStatus tells whether a class meets its target.
type ClassStatus struct {
	Class    string `json:"class"`
	Pool     string `json:"pool"`
	Target   string `json:"target"`
	Requests uint64 `json:"requests"`
	// Attainment is the fraction of requests that met the target, and BurnRate that over the objective.
	Attainment float64 `json:"attainment"`
	BurnRate   float64 `json:"burnRate"`
	// Known is false if there is no record of the window.
	Known bool `json:"known"`
}

// PoolStatus tells whether a pool is short.
type PoolStatus struct {
	Pool  string `json:"pool"`
	Spare bool   `json:"spare,omitempty"`
	Size  int    `json:"size"`
	// Stopped instances are in a planned stop; Failed ones did not return from one.
	Stopped int `json:"stopped"`
	Failed  int `json:"failed"`
	// MaxUnavailable is the availability budget.
	MaxUnavailable int `json:"maxUnavailable"`
	Queued         int `json:"queued"`
	Running        int `json:"running"`
	Slots          int `json:"slots"`
	// Short says that work waits while all slots are in use.
	Short bool `json:"short"`
}

// NewReport makes a report.
func NewReport(in Inputs) Report {
	report := Report{
		At: in.Now.UTC(), Entry: in.Entry, Platform: in.Platform,
		ConfigVersion: in.ConfigVersion, KeysAdmitted: in.KeysAdmitted,
		Entries: slices.Clone(in.Entries), Waves: slices.Clone(in.Waves),
	}
	if in.ConfigConfirmed {
		age := in.ConfigAge.Seconds()
		report.ConfigAge = &age
	}
	report.Classes = classStatuses(in)
	report.Pools = poolStatuses(in)
	slices.SortFunc(report.Entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.trouble(), a.trouble()), cmp.Compare(a.Name, b.Name))
	})
	return report
}

func classStatuses(in Inputs) []ClassStatus {
	objectives := make(map[string]float64, len(in.Classes))
	for _, c := range in.Classes {
		objectives[c.Name()] = c.Objective()
	}
	windows := make(map[string]burn.WindowReport, len(in.Classes))
	for _, w := range burn.ClassWindows(in.Now, Window, objectives, in.BurnHistory) {
		windows[w.Class] = w.WindowReport
	}
	statuses := make([]ClassStatus, 0, len(in.Classes))
	for _, c := range in.Classes {
		w := windows[c.Name()]
		statuses = append(statuses, ClassStatus{
			Class: c.Name(), Pool: c.Pool(), Target: c.Target().String(),
			Requests: w.Requests, Attainment: w.Attainment, BurnRate: w.BurnRate, Known: w.Known > 0,
		})
	}
	slices.SortFunc(statuses, func(a, b ClassStatus) int {
		return cmp.Or(cmp.Compare(b.BurnRate, a.BurnRate), cmp.Compare(a.Class, b.Class))
	})
	return statuses
}

func poolStatuses(in Inputs) []PoolStatus {
	index := make(map[string]int, len(in.Pools))
	statuses := make([]PoolStatus, 0, len(in.Pools))
	for _, p := range in.Pools {
		load := in.Loads[p.Name()]
		index[p.Name()] = len(statuses)
		statuses = append(statuses, PoolStatus{
			Pool: p.Name(), Spare: p.Spare(), Queued: load.Queued, Running: load.Running, Slots: load.Slots,
			Short: load.Queued > 0 && load.Running >= load.Slots,
		})
	}
	for _, row := range in.Rows {
		i, ok := index[row.Pool]
		if !ok {
			continue
		}
		s := &statuses[i]
		s.Size++
		switch {
		case row.State == pool.StateFailed:
			s.Failed++
		case row.Down():
			s.Stopped++
		}
	}
	for _, p := range in.Pools {
		s := &statuses[index[p.Name()]]
		s.MaxUnavailable = p.MaxUnavailable(s.Size)
	}
	slices.SortFunc(statuses, func(a, b PoolStatus) int {
		return cmp.Or(cmp.Compare(b.trouble(), a.trouble()), cmp.Compare(b.Queued, a.Queued), cmp.Compare(a.Pool, b.Pool))
	})
	return statuses
}

// trouble ranks pools: those short of slots first, then those with failed or stopped instances.
func (p PoolStatus) trouble() int {
	switch {
	case p.Short:
		return 3
	case p.Failed > 0:
		return 2
	case p.Stopped > 0:
		return 1
	}
	return 0
}

func (e Entry) trouble() int {
	switch e.State {
	case "dead":
		return 3
	case "suspect":
		return 2
	case "leaving":
		return 1
	}
	return 0
}

// TargetsMet reports whether all classes stayed within their error budget over the window.
func (r Report) TargetsMet() bool {
	return !slices.ContainsFunc(r.Classes, func(c ClassStatus) bool { return c.BurnRate > 1 })
}
