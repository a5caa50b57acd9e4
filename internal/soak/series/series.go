// Package series draws series of faults from seeds.
//
// # Usage
//
//	faults := series.New(7, series.Size{Nodes: 3, Workers: 9, Duration: 20 * time.Second})
package series

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
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

// rules give the targets of each kind, and the shortest and longest time that it lasts.
var rules = map[Kind]struct {
	scope             scope
	shortest, longest time.Duration
}{
	PauseNode:      {ofNodes, 300 * time.Millisecond, 6 * time.Second},
	PauseLeader:    {whole, 300 * time.Millisecond, 6 * time.Second},
	StopNode:       {ofNodes, 0, 0},
	StopLeader:     {whole, 0, 0},
	KillNode:       {ofNodes, 200 * time.Millisecond, 3 * time.Second},
	KillLeader:     {whole, 200 * time.Millisecond, 3 * time.Second},
	ReloadNode:     {ofNodes, 0, 0},
	StoreLinkSlow:  {ofNodes, time.Second, 6 * time.Second},
	StoreLinkReset: {ofNodes, 0, 0},
	StoreLinkTo:    {ofNodes, time.Second, 7 * time.Second},
	StoreLinkFrom:  {ofNodes, time.Second, 7 * time.Second},
	StoreLinkQuiet: {ofNodes, 0, 0},
	WorkerLinkSlow: {ofWorkers, time.Second, 6 * time.Second},
	WorkerReset:    {ofWorkers, 0, 0},
	WorkerLinkTo:   {ofWorkers, time.Second, 8 * time.Second},
	WorkerLinkFrom: {ofWorkers, time.Second, 8 * time.Second},
	WorkerQuiet:    {ofWorkers, 0, 0},
	ClientLinkSlow: {ofNodes, time.Second, 5 * time.Second},
	ClientReset:    {ofNodes, 0, 0},
	ClientQuiet:    {ofNodes, 0, 0},
	StoreSlow:      {whole, time.Second, 5 * time.Second},
	StoreDown:      {whole, 500 * time.Millisecond, 5 * time.Second},
	StorePartly:    {ofNodes, time.Second, 6 * time.Second},
	StoreForgets:   {whole, 0, 0},
	StoreLoses:     {whole, time.Second, 4 * time.Second},
	StoreLate:      {whole, time.Second, 4 * time.Second},
	WorkerCrash:    {ofWorkers, 200 * time.Millisecond, 3 * time.Second},
	WorkerPower:    {ofWorkers, 500 * time.Millisecond, 6 * time.Second},
	WorkerFreeze:   {ofWorkers, time.Second, 6 * time.Second},
	WorkerFails:    {ofWorkers, time.Second, 4 * time.Second},
	WorkerLeaves:   {ofWorkers, 0, 0},
	WorkerLate:     {ofWorkers, 2 * time.Second, 6 * time.Second},
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
	return text
}

// Size is the size of a run.
type Size struct {
	Nodes, Workers int
	// Duration is the time in which faults begin and end.
	Duration time.Duration
}

const (
	// meanGap is the mean time between two faults. Many last longer, so that faults overlap.
	meanGap = 900 * time.Millisecond
	// seedStream separates the draws of a series from other draws of the seed.
	seedStream = 0x5e41e5
)

// New draws a series of faults in order of their times. It depends only on the seed and the size.
func New(seed uint64, size Size) []Fault {
	random := rand.New(rand.NewPCG(seed, seedStream))
	kinds := Kinds()
	var faults []Fault
	for at := time.Duration(random.Int64N(int64(meanGap))); ; at += time.Duration(random.ExpFloat64() * float64(meanGap)) {
		kind := kinds[random.IntN(len(kinds))]
		rule := rules[kind]
		f := Fault{At: at.Round(time.Millisecond), Kind: kind, Duration: rule.shortest}
		if spread := rule.longest - rule.shortest; spread > 0 {
			f.Duration += time.Duration(random.Int64N(int64(spread))).Round(time.Millisecond)
		}
		switch rule.scope {
		case ofNodes:
			f.Target = random.IntN(size.Nodes)
		case ofWorkers:
			f.Target = random.IntN(size.Workers)
		}
		if at >= size.Duration {
			break
		}
		f.Duration = min(f.Duration, size.Duration-f.At)
		faults = append(faults, f)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}
