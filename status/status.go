// Package status reports on one screen whether targets are met, which pools are short of slots, which waves
// run, and which entry instances are unreachable.
//
// # Usage
//
//	report := status.NewReport(status.Inputs{Now: time.Now(), Entry: "north-1", ...})
//	err := status.Write(os.Stdout, report, status.DefaultRows)
//
// A fleet can have hundreds of pools, so lists are sorted with what needs attention first.
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

// Window is the time over which the attainment and burn rate of classes are reported.
var Window = burn.Windows[0]

// Load is the load of a pool, added up over all entry instances that this one receives messages from.
type Load struct {
	Queued  int
	Running int
	// Slots is the number of slots that entry instances may use.
	Slots int
}

// Entry is an entry instance as the reporting one sees it.
type Entry struct {
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// State is alive, suspect, dead or leaving.
	State   string `json:"state"`
	Version uint64 `json:"version"`
	// SinceLastContact is the time since the last message from it, in seconds.
	SinceLastContact float64 `json:"heardSeconds"`
}

// Inputs is the data from which a report is made.
type Inputs struct {
	Now time.Time
	// Entry is the entry instance that makes the report.
	Entry         string
	Platform      string
	ConfigVersion uint64
	// ConfigAge is the time since the configuration was last confirmed to be current. It has no meaning unless
	// ConfigConfirmed is set.
	ConfigAge       time.Duration
	ConfigConfirmed bool
	// KeysAdmitted says whether work with an API key is admitted now.
	KeysAdmitted bool
	Entries      []Entry
	Classes      []class.Class
	Pools        []pool.Pool
	Rows         []pool.Stored
	Loads        map[string]Load
	Waves        []wave.Progress
	// BurnHistory holds the chunks that the window needs.
	BurnHistory []burn.Chunk
}

// Report is the state of the fleet as one entry instance sees it.
type Report struct {
	At            time.Time `json:"at"`
	Entry         string    `json:"entry"`
	Platform      string    `json:"platform"`
	ConfigVersion uint64    `json:"configVersion"`
	// ConfigAge is in seconds. It is absent if the configuration was never confirmed to be current.
	ConfigAge    *float64        `json:"configAgeSeconds,omitempty"`
	KeysAdmitted bool            `json:"keysAdmitted"`
	Entries      []Entry         `json:"entries"`
	Classes      []ClassStatus   `json:"classes"`
	Pools        []PoolStatus    `json:"pools"`
	Waves        []wave.Progress `json:"waves"`
}

// ClassStatus says whether a class meets its target.
type ClassStatus struct {
	Class    string `json:"class"`
	Pool     string `json:"pool"`
	Target   string `json:"target"`
	Requests uint64 `json:"requests"`
	// Attainment is the fraction of requests that met the target. BurnRate is the fraction that missed it,
	// divided by the fraction that the objective allows to miss it.
	Attainment float64 `json:"attainment"`
	BurnRate   float64 `json:"burnRate"`
	// Known is false if nothing was recorded in the window.
	Known bool `json:"known"`
}

// PoolStatus says whether a pool is short of slots, and how many of its instances are out of service.
type PoolStatus struct {
	Pool  string `json:"pool"`
	Spare bool   `json:"spare,omitempty"`
	Size  int    `json:"size"`
	// Stopped counts the instances in a planned stop; Failed counts those that did not return from one.
	Stopped int `json:"stopped"`
	Failed  int `json:"failed"`
	// MaxUnavailable is the availability budget in instances.
	MaxUnavailable int `json:"maxUnavailable"`
	Queued         int `json:"queued"`
	Running        int `json:"running"`
	Slots          int `json:"slots"`
	// Short means that work waits while all slots are in use.
	Short bool `json:"short"`
}

// NewReport makes a report. It sorts the lists with what needs attention first.
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
		return cmp.Or(cmp.Compare(b.severity(), a.severity()), cmp.Compare(a.Name, b.Name))
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
		return cmp.Or(cmp.Compare(b.severity(), a.severity()), cmp.Compare(b.Queued, a.Queued), cmp.Compare(a.Pool, b.Pool))
	})
	return statuses
}

// severity ranks pools: those short of slots are highest, then those with failed and with stopped instances.
func (p PoolStatus) severity() int {
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

// severity ranks entry instances: dead ones are highest, then suspect and leaving ones.
func (e Entry) severity() int {
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

// TargetsMet reports whether the burn rate of every class over the window is at most 1.
func (r Report) TargetsMet() bool {
	return !slices.ContainsFunc(r.Classes, func(c ClassStatus) bool { return c.BurnRate > 1 })
}
