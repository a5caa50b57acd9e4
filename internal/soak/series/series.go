// Package series draws series of faults from seeds.
//
// # Usage
//
//	faults := series.New(7, series.Size{Nodes: 3, Workers: 9, Duration: 20 * time.Second})
package series

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chivetiller/chivetiller/internal/soak/link"
	"github.com/chivetiller/chivetiller/internal/soak/promises"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults.
const (
	PauseNode      Kind = "process paused"
	PauseLeader    Kind = "leader paused"
	StopNode       Kind = "process stopped and started"
	StopLeader     Kind = "leader stopped and started"
	KillNode       Kind = "process killed and started"
	KillLeader     Kind = "leader killed and started"
	ReloadNode     Kind = "settings of process changed"
	StoreLinkSlow  Kind = "link to store delayed"
	StoreLinkReset Kind = "link to store reset"
	StoreLinkTo    Kind = "link to store cut one way"
	StoreLinkFrom  Kind = "link from store cut one way"
	StoreLinkQuiet Kind = "link to store silent"
	WorkerLinkSlow Kind = "link to worker delayed"
	WorkerReset    Kind = "link to worker reset"
	WorkerLinkTo   Kind = "link to worker cut one way"
	WorkerLinkFrom Kind = "link from worker cut one way"
	WorkerQuiet    Kind = "link to worker silent"
	ClientLinkSlow Kind = "link of clients delayed"
	ClientReset    Kind = "link of clients reset"
	ClientQuiet    Kind = "link of clients silent"
	StoreSlow      Kind = "store slow"
	StoreDown      Kind = "store down"
	StorePartly    Kind = "store down for a process"
	StoreForgets   Kind = "store forgets its history"
	StoreLoses     Kind = "store loses answers"
	StoreLate      Kind = "store applies writes late"
	Malformed      Kind = "malformed entries and requests"
	WorkerCrash    Kind = "worker crashes"
	WorkerPower    Kind = "worker loses power"
	WorkerFreeze   Kind = "worker frozen"
	WorkerFails    Kind = "worker fails everything"
	WorkerLeaves   Kind = "worker leaves"
	WorkerLate     Kind = "worker carries orders out late"
)

// scope says which targets a kind of fault has.
type scope int

const (
	whole scope = iota
	ofNodes
	ofWorkers
)

// rules give the targets of each kind, the shortest and longest time that it lasts, how the history names it, and what it makes of links.
// Stops and kills of processes are recorded where they happen.
var rules = map[Kind]struct {
	scope             scope
	shortest, longest time.Duration
	disruption        promises.Kind
	mode              link.Mode
}{
	PauseNode:      {ofNodes, 300 * time.Millisecond, 6 * time.Second, promises.Frozen, link.Pass},
	PauseLeader:    {whole, 300 * time.Millisecond, 6 * time.Second, promises.Frozen, link.Pass},
	StopNode:       {ofNodes, 0, 0, promises.Planned, link.Pass},
	StopLeader:     {whole, 0, 0, promises.Planned, link.Pass},
	KillNode:       {ofNodes, 200 * time.Millisecond, 3 * time.Second, promises.Killed, link.Pass},
	KillLeader:     {whole, 200 * time.Millisecond, 3 * time.Second, promises.Killed, link.Pass},
	ReloadNode:     {ofNodes, 0, 0, promises.Reload, link.Pass},
	StoreLinkSlow:  {ofNodes, time.Second, 6 * time.Second, promises.Delayed, link.Delayed},
	StoreLinkReset: {ofNodes, 0, 0, promises.Reset, link.Reset},
	StoreLinkTo:    {ofNodes, time.Second, 7 * time.Second, promises.Cut, link.CutTo},
	StoreLinkFrom:  {ofNodes, time.Second, 7 * time.Second, promises.Cut, link.CutFrom},
	StoreLinkQuiet: {ofNodes, 0, 0, promises.Reset, link.Silent},
	WorkerLinkSlow: {ofWorkers, time.Second, 6 * time.Second, promises.Delayed, link.Delayed},
	WorkerReset:    {ofWorkers, 0, 0, promises.Reset, link.Reset},
	WorkerLinkTo:   {ofWorkers, time.Second, 8 * time.Second, promises.Cut, link.CutTo},
	WorkerLinkFrom: {ofWorkers, time.Second, 8 * time.Second, promises.Cut, link.CutFrom},
	WorkerQuiet:    {ofWorkers, 0, 0, promises.Reset, link.Silent},
	ClientLinkSlow: {ofNodes, time.Second, 5 * time.Second, promises.Delayed, link.Delayed},
	ClientReset:    {ofNodes, 0, 0, promises.Reset, link.Reset},
	ClientQuiet:    {ofNodes, 0, 0, promises.Reset, link.Silent},
	StoreSlow:      {whole, time.Second, 5 * time.Second, promises.Slow, link.Pass},
	StoreDown:      {whole, 500 * time.Millisecond, 5 * time.Second, promises.Down, link.Pass},
	StorePartly:    {ofNodes, time.Second, 6 * time.Second, promises.Cut, link.Pass},
	StoreForgets:   {whole, 0, 0, promises.Forgets, link.Pass},
	StoreLoses:     {whole, time.Second, 4 * time.Second, promises.LosesAnswer, link.Pass},
	StoreLate:      {whole, time.Second, 4 * time.Second, promises.LosesAnswer, link.Pass},
	Malformed:      {whole, 0, 0, "", link.Pass},
	WorkerCrash:    {ofWorkers, 200 * time.Millisecond, 3 * time.Second, promises.Killed, link.Pass},
	WorkerPower:    {ofWorkers, 500 * time.Millisecond, 6 * time.Second, promises.Killed, link.Pass},
	WorkerFreeze:   {ofWorkers, time.Second, 6 * time.Second, promises.Frozen, link.Pass},
	WorkerFails:    {ofWorkers, time.Second, 4 * time.Second, promises.Unhealthy, link.Pass},
	WorkerLeaves:   {ofWorkers, 0, 0, promises.Maintenance, link.Pass},
	WorkerLate:     {ofWorkers, 2 * time.Second, 6 * time.Second, promises.LateCommand, link.Pass},
}

// Kinds returns all kinds in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(rules))
	for k := range rules {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	return kinds
}

// Fault is a fault of a series.
type Fault struct {
	// At is the time since the begin of the load.
	At, Duration time.Duration
	Kind         Kind
	// Target is the number of the process or worker, if the kind has one.
	Target int
	// Pattern is the name of the pattern that the fault belongs to, if any.
	Pattern string
}

// String describes the fault.
func (f Fault) String() string {
	text := fmt.Sprintf("%7.3f s  %s", f.At.Seconds(), f.Kind)
	switch rules[f.Kind].scope {
	case ofNodes:
		text += fmt.Sprintf(" (process %d)", f.Target+1)
	case ofWorkers:
		text += fmt.Sprintf(" (worker %d)", f.Target+1)
	}
	if f.Duration > 0 {
		text += fmt.Sprintf(" for %.3f s", f.Duration.Seconds())
	}
	if f.Pattern != "" {
		text += fmt.Sprintf(" [%s]", f.Pattern)
	}
	return text
}

// Size is the size of a run.
type Size struct {
	Nodes, Workers int
	// Duration is the time in which faults begin and end.
	Duration time.Duration
}

// patterns are faults that belong together, with their times since the first one. They are the faults that operators of similar systems have
// met; faults of processes or workers have the same target.
var patterns = map[string][]Fault{
	"silent worker": {
		{Kind: WorkerLinkTo, Duration: 6 * time.Second},
	},
	"hand-over": {
		{Kind: PauseLeader, Duration: 4 * time.Second},
		{At: 3400 * time.Millisecond, Kind: StopLeader},
	},
	"expired permission": {
		{Kind: WorkerLinkSlow, Duration: 5 * time.Second},
		{At: 500 * time.Millisecond, Kind: PauseLeader, Duration: 4500 * time.Millisecond},
	},
	"restart after leaving": {
		{Kind: WorkerLeaves},
		{At: 3500 * time.Millisecond, Kind: StopNode},
		{At: 3600 * time.Millisecond, Kind: KillLeader, Duration: 300 * time.Millisecond},
		{At: 4500 * time.Millisecond, Kind: KillLeader, Duration: 300 * time.Millisecond},
	},
	"malformed message": {
		{Kind: Malformed},
		{At: 300 * time.Millisecond, Kind: KillLeader, Duration: time.Second},
	},
	"lost answer": {
		{Kind: StoreLoses, Duration: 4 * time.Second},
		{At: 500 * time.Millisecond, Kind: WorkerLate, Duration: 4 * time.Second},
		{At: 2 * time.Second, Kind: KillLeader, Duration: time.Second},
	},
}

const (
	// meanGap is the mean time between two faults. Many last longer, so that faults overlap.
	meanGap = 900 * time.Millisecond
	// calmShare is the share of the faults after which a series is calm until the bounds of promises count again.
	calmShare = 0.12
	minCalm   = 4 * time.Second
	maxCalm   = 6 * time.Second
	// patternShare is the share of the draws that are patterns.
	patternShare = 0.15
	// openingGap is the time between the planned stop and the departure with which each series begins, in calm times.
	openingGap = 1500 * time.Millisecond
	// seedStream separates the draws of a series from other draws of the seed.
	seedStream = 0x5e41e5
)

// New draws a series of faults in order of their times. It depends only on the seed and the size.
func New(seed uint64, size Size) []Fault {
	d := drawer{random: rand.New(rand.NewPCG(seed, seedStream)), size: size}
	d.add(Fault{At: openingGap, Kind: StopNode})
	d.add(Fault{At: 2 * openingGap, Kind: WorkerLeaves})
	names := slices.Sorted(maps.Keys(patterns))
	kinds := Kinds()
	for at := 3 * openingGap; at < size.Duration; at += d.gap() {
		at = at.Round(time.Millisecond)
		if d.random.Float64() < patternShare {
			d.addPattern(at, names[d.random.IntN(len(names))])
			continue
		}
		kind := kinds[d.random.IntN(len(kinds))]
		rule := rules[kind]
		d.add(Fault{At: at, Kind: kind, Duration: d.between(rule.shortest, rule.longest).Round(time.Millisecond)})
	}
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return d.faults
}

// drawer draws the faults of a series.
type drawer struct {
	random *rand.Rand
	size   Size
	faults []Fault
}

func (d *drawer) between(from, to time.Duration) time.Duration {
	return from + time.Duration(d.random.Float64()*float64(to-from))
}

// gap draws the time from one fault to the next one.
func (d *drawer) gap() time.Duration {
	if d.random.Float64() < calmShare {
		return d.between(minCalm, maxCalm)
	}
	return time.Duration(d.random.ExpFloat64() * float64(meanGap))
}

// target draws the target of a kind of fault.
func (d *drawer) target(kind Kind) int {
	switch rules[kind].scope {
	case ofNodes:
		return d.random.IntN(d.size.Nodes)
	case ofWorkers:
		return d.random.IntN(d.size.Workers)
	}
	return 0
}

// add adds a fault with a target, unless it begins after the series.
func (d *drawer) add(f Fault) {
	f.Target = d.target(f.Kind)
	d.addTargeted(f)
}

func (d *drawer) addTargeted(f Fault) {
	if f.At >= d.size.Duration {
		return
	}
	f.Duration = min(f.Duration, d.size.Duration-f.At)
	d.faults = append(d.faults, f)
}

// addPattern adds the faults of a pattern.
func (d *drawer) addPattern(at time.Duration, name string) {
	targets := make(map[scope]int)
	for _, f := range patterns[name] {
		target, ok := targets[rules[f.Kind].scope]
		if !ok {
			target = d.target(f.Kind)
			targets[rules[f.Kind].scope] = target
		}
		f.At, f.Target, f.Pattern = at+f.At, target, name
		d.addTargeted(f)
	}
}
