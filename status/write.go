package status

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/chivetiller/chivetiller/wave"
)

// DefaultRows is the number of rows of each list with which the report fits on one screen.
const DefaultRows = 12

// Write writes the report as text, with up to limit rows of each list, or all rows if limit is 0.
func Write(w io.Writer, r Report, limit int) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "%s\n", r.summary())
	writeEntries(t, r, limit)
	writeClasses(t, r, limit)
	writePools(t, r, limit)
	writeWaves(t, r, limit)
	return t.Flush()
}

func (r Report) summary() string {
	met := "targets are met"
	if !r.TargetsMet() {
		met = "TARGETS ARE MISSED"
	}
	age := "never confirmed"
	if r.ConfigAge != nil {
		age = fmt.Sprintf("confirmed %.1f s ago", *r.ConfigAge)
	}
	keys := "keyed work is admitted"
	if !r.KeysAdmitted {
		keys = "KEYED WORK IS REJECTED"
	}
	return fmt.Sprintf("%s at %s: %s; platform is %s; configuration %d, %s; %s",
		r.Entry, r.At.Format(time.TimeOnly), met, r.Platform, r.ConfigVersion, age, keys)
}

func writeEntries(w io.Writer, r Report, limit int) {
	rows, rest := firstRows(r.Entries, limit)
	fmt.Fprintf(w, "\nENTRY\tDATA CENTRE\tSTATE\tCONFIGURATION\tHEARD\n")
	for _, e := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f s\n", e.Name, e.DataCentre, e.State, e.Version, e.SinceLastContact)
	}
	writeRemaining(w, rest)
}

func writeClasses(w io.Writer, r Report, limit int) {
	rows, rest := firstRows(r.Classes, limit)
	fmt.Fprintf(w, "\nCLASS\tPOOL\tTARGET\tREQUESTS %s\tMET\tBURN\n", Window)
	for _, c := range rows {
		if !c.Known {
			fmt.Fprintf(w, "%s\t%s\t%s\tunknown\t-\t-\n", c.Class, c.Pool, c.Target)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.3f %%\t%.2f\n", c.Class, c.Pool, c.Target, c.Requests, 100*c.Attainment, c.BurnRate)
	}
	writeRemaining(w, rest)
}

func writePools(w io.Writer, r Report, limit int) {
	rows, rest := firstRows(r.Pools, limit)
	fmt.Fprintf(w, "\nPOOL\tINSTANCES\tSTOPPED\tFAILED\tBUDGET\tQUEUED\tRUNNING\tSLOTS\t\n")
	for _, p := range rows {
		remark := ""
		switch {
		case p.Short:
			remark = "SHORT"
		case p.Spare:
			remark = "spare"
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", p.Pool, p.Size, p.Stopped, p.Failed, p.MaxUnavailable, p.Queued, p.Running, p.Slots, remark)
	}
	writeRemaining(w, rest)
}

func writeWaves(w io.Writer, r Report, limit int) {
	rows, rest := firstRows(r.Waves, limit)
	if len(rows) == 0 {
		return
	}
	fmt.Fprintf(w, "\nWAVE\tSTATE\tDONE\tEXPECTED END\n")
	for _, p := range rows {
		done, size := waveDone(p)
		end := "unknown"
		if !p.ExpectedEnd.IsZero() {
			end = p.ExpectedEnd.UTC().Format(time.TimeOnly)
		}
		fmt.Fprintf(w, "%s\t%s\t%d of %d\t%s\n", p.Name, p.State, done, size, end)
	}
	writeRemaining(w, rest)
}

// waveDone returns how many instances of a wave have been rebooted or skipped, and how many it has.
func waveDone(p wave.Progress) (done, size int) {
	for _, each := range p.Pools {
		done += each.Rebooted + each.Skipped
		size += each.Size
	}
	return done, size
}

// firstRows returns the first rows up to a limit, and the number of rows left out.
func firstRows[T any](rows []T, limit int) ([]T, int) {
	if limit <= 0 || len(rows) <= limit {
		return rows, 0
	}
	return rows[:limit], len(rows) - limit
}

func writeRemaining(w io.Writer, rest int) {
	if rest > 0 {
		fmt.Fprintf(w, "... and %d more\n", rest)
	}
}
