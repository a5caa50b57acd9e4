package work

import (
	"maps"
	"math"
	"slices"
)

// Upper limits for what the encoding of a progress takes.
const (
	// partBytes is for a part without its reason and its entries.
	partBytes = 40
	// occurrenceBytes is for an occurrence with its workers and one field of a step. Each step takes a byte more.
	occurrenceBytes = 24
	// fieldBytes is for the number of a field and the head of its map.
	fieldBytes = 4
	// completeBytes is for a complete occurrence, and rangeBytes for a range of them.
	completeBytes = 6
	rangeBytes    = 11
)

// intBytes returns the size of the encoding of a number, or of the head of a list or text of that length.
func intBytes(n int) int {
	switch {
	case n < 0:
		return 9
	case n < 24:
		return 1
	case n <= math.MaxUint8:
		return 2
	case n <= math.MaxUint16:
		return 3
	case n <= math.MaxUint32:
		return 5
	}
	return 9
}

func textBytes(text string) int { return intBytes(len(text)) + len(text) }

func recordBytes(r RunRecord) int { return 1 + intBytes(r.Worker) + intBytes(r.Number) }

func runsBytes(runs []int) int {
	n := intBytes(len(runs))
	for _, run := range runs {
		n += intBytes(run)
	}
	return n
}

// Split returns the progress in parts, each of which is encoded in at most limit bytes unless a single entry is longer. [Progress.Join]
// puts them together again. Checkpoints come last, and those that do not fit into maxParts are left out, so that their tasks start
// from the beginning after a change of the leader.
//
// An earlier build reads only the first part. So this has the tasks that are done and as many of the complete occurrences as
// fit. What it lacks is taken for work that has not been done.
func (p *Progress) Split(limit, maxParts int) (parts []*Progress, omittedCheckpoints int) {
	s := &splitter{limit: limit, size: len(p.Reason)}
	s.addPart()
	first := s.parts[0]
	first.State, first.Reason = p.State, p.Reason
	var open []int
	for _, k := range slices.Sorted(maps.Keys(p.Occurrences)) {
		if o := p.Occurrences[k]; o != nil {
			open = append(open, k)
			s.addDone(k, o)
		}
	}
	s.addComplete(p.Complete)
	for _, k := range open {
		o := p.Occurrences[k]
		for _, id := range o.Workers {
			to := s.occurrence(k, len(o.Steps), textBytes(id))
			to.Workers = append(to.Workers, id)
		}
		addEntries(s, k, o, func(s *StepProgress) *map[int]RunRecord { return &s.Runs }, recordBytes)
		addEntries(s, k, o, func(s *StepProgress) *map[int]RunRecord { return &s.FirstRuns }, recordBytes)
	}
	for _, k := range open {
		o := p.Occurrences[k]
		addEntries(s, k, o, func(s *StepProgress) *map[int][]int { return &s.Crashes }, runsBytes)
		addEntries(s, k, o, func(s *StepProgress) *map[int]int { return &s.ConfirmedCrashes }, intBytes)
		addEntries(s, k, o, func(s *StepProgress) *map[int]int { return &s.LateCrashes }, intBytes)
		addEntries(s, k, o, func(s *StepProgress) *map[int][]int { return &s.Failures }, runsBytes)
	}
	s.maxParts = maxParts
	for _, k := range open {
		addEntries(s, k, p.Occurrences[k], func(s *StepProgress) *map[int]string { return &s.Checkpoints }, textBytes)
	}
	first.Parts = len(s.parts) - 1
	return s.parts, s.omitted
}

// splitter fills one part after the other.
type splitter struct {
	limit int
	// maxParts limits the parts, unless it is 0. Entries that do not fit are counted as omitted.
	maxParts int
	omitted  int
	parts    []*Progress
	// size is an upper limit for the encoding of the last part.
	size int
}

func (s *splitter) addPart() *Progress {
	part := &Progress{Occurrences: make(map[int]*OccurrenceProgress)}
	if len(s.parts) > 0 {
		s.size = 0
	}
	s.size += partBytes
	s.parts = append(s.parts, part)
	return part
}

// occurrence returns an occurrence in the last part, in a new one if n bytes do not fit. It returns nil if there may be no other part.
// A new occurrence has room for the heads of a field, and n includes those of any other.
func (s *splitter) occurrence(k, steps, n int) *OccurrenceProgress {
	part := s.parts[len(s.parts)-1]
	o, ok := part.Occurrences[k]
	if !ok {
		n += occurrenceBytes + steps
	}
	if s.size+n > s.limit {
		if ok {
			n += occurrenceBytes + steps
		}
		if s.maxParts > 0 && (len(s.parts) >= s.maxParts || partBytes+n > s.limit) {
			s.omitted++
			return nil
		}
		part = s.addPart()
		ok = false
	}
	if !ok {
		o = &OccurrenceProgress{Steps: make([]StepProgress, steps)}
		part.Occurrences[k] = o
	}
	s.size += n
	return o
}

// addDone adds an occurrence and the tasks of it that are done.
func (s *splitter) addDone(k int, o *OccurrenceProgress) {
	s.occurrence(k, len(o.Steps), 0)
	for i := range o.Steps {
		if done := o.Steps[i].Done; len(done) > 0 {
			s.occurrence(k, len(o.Steps), fieldBytes+len(done)).Steps[i].Done = done
		}
	}
}

// addComplete adds the complete occurrences as ranges, and those with the lowest numbers one by one to half of the room of the
// first part.
func (s *splitter) addComplete(complete map[int]bool) {
	numbers := slices.Sorted(maps.Keys(complete))
	listed := 0
	if len(s.parts) == 1 {
		listed = max(0, (s.limit-s.size)/2/completeBytes)
	}
	for i, k := range numbers {
		if !complete[k] {
			continue
		}
		part := s.parts[len(s.parts)-1]
		if i < listed {
			if part.Complete == nil {
				part.Complete = make(map[int]bool)
			}
			part.Complete[k] = true
			s.size += completeBytes
			continue
		}
		if n := len(part.CompleteRanges); n > 0 && part.CompleteRanges[n-1].End == k {
			part.CompleteRanges[n-1].End++
			continue
		}
		if s.size+rangeBytes > s.limit {
			part = s.addPart()
		}
		part.CompleteRanges = append(part.CompleteRanges, Range{Start: k, End: k + 1})
		s.size += rangeBytes
	}
}

// addEntries adds the entries that a field has for the tasks of an occurrence. Those of tasks that are done are not needed any more.
func addEntries[V any](s *splitter, k int, o *OccurrenceProgress, field func(*StepProgress) *map[int]V, size func(V) int) {
	for i := range o.Steps {
		from := *field(&o.Steps[i])
		for _, index := range slices.Sorted(maps.Keys(from)) {
			if o.Steps[i].IsDone(index) {
				continue
			}
			n := intBytes(index) + size(from[index])
			if last := s.parts[len(s.parts)-1].Occurrences[k]; last != nil && *field(&last.Steps[i]) == nil {
				n += fieldBytes
			}
			to := s.occurrence(k, len(o.Steps), n)
			if to == nil {
				continue
			}
			m := field(&to.Steps[i])
			if *m == nil {
				*m = make(map[int]V)
			}
			(*m)[index] = from[index]
		}
	}
}

// Join adds the next of the parts into which a progress was split.
func (p *Progress) Join(part *Progress) {
	p.Init()
	maps.Copy(p.Complete, part.Complete)
	p.CompleteRanges = append(p.CompleteRanges, part.CompleteRanges...)
	for k, from := range part.Occurrences {
		to := p.Occurrences[k]
		if to == nil || from == nil || len(to.Steps) != len(from.Steps) {
			if to == nil && from != nil {
				p.Occurrences[k] = from
			}
			continue
		}
		to.Workers = append(to.Workers, from.Workers...)
		for i := range to.Steps {
			to.Steps[i].join(&from.Steps[i])
		}
	}
}

func (p *StepProgress) join(from *StepProgress) {
	if len(from.Done) > 0 {
		p.Done = from.Done
	}
	join(&p.Failures, from.Failures)
	join(&p.Checkpoints, from.Checkpoints)
	join(&p.Runs, from.Runs)
	join(&p.FirstRuns, from.FirstRuns)
	join(&p.Crashes, from.Crashes)
	join(&p.ConfirmedCrashes, from.ConfirmedCrashes)
	join(&p.LateCrashes, from.LateCrashes)
}

func join[V any](to *map[int]V, from map[int]V) {
	if *to == nil {
		*to = from
		return
	}
	maps.Copy(*to, from)
}
