// Command run plays the cases of the soak, or series of faults drawn from seeds, each in a process of its own, and prints a line for each
// case or a report for each seed. With --margins-of it prints the margins of a bench's play from its output.
//
//	go run ./internal/soak/run --case all --plays 5
//	go run ./internal/soak/run --seeds 3 --seed 7 --for 30s --processes 9 --keep target/records
//	go run ./internal/soak/run --margins-of play.log,report.json
//
// The exit code is 0 only if each promise held in each play and, with --seeds, was checked at least once.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/chivetiller/chivetiller/internal/soak/cases"
	"github.com/chivetiller/chivetiller/internal/soak/margins"
	"github.com/chivetiller/chivetiller/internal/soak/promises"
	"github.com/chivetiller/chivetiller/internal/soak/series"
)

const (
	recordFile = "record.txt"
	reportFile = "report.json"
	textFile   = "report.txt"
	// defaultJobs is the number of plays at the same time.
	defaultJobs = 5
)

// settings are the flags of the command.
type settings struct {
	cases   []string
	play    []string
	plays   int
	jobs    int
	program string
	keep    string
	noFault bool
	single  bool

	seeds, processes, workers int
	seed                      uint64
	duration                  time.Duration
	regressions               bool
}

func main() {
	var s settings
	cmd := &cobra.Command{
		Use: "run", Short: "Plays the cases of the soak, or series of faults", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			seeded := s.seeds > 0 || s.regressions || cmd.Flags().Changed("seed")
			switch {
			case len(s.play) > 0:
				return printMargins(s.play)
			case s.single && seeded:
				return playSeedHere(s)
			case s.single:
				return playHere(s)
			case seeded:
				return playSeeds(s, cmd.Flags().Changed("seed"))
			}
			return playAll(s)
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&s.cases, "case", []string{"all"}, "names of cases, or all")
	flags.IntVar(&s.plays, "plays", 1, "number of plays of each case")
	flags.IntVar(&s.jobs, "jobs", defaultJobs, "number of plays at the same time")
	flags.StringVar(&s.program, "program", "target/chivetiller", "path of the program")
	flags.StringVar(&s.keep, "keep", "", "directory in which the records of all plays are kept; without it only those that did not hold are")
	flags.BoolVar(&s.noFault, "no-fault", false, "play without faults, which shows the path of jobs")
	flags.IntVar(&s.seeds, "seeds", 0, "number of series of faults to play instead of cases")
	flags.Uint64Var(&s.seed, "seed", 0, "first seed; without it one is taken from the time")
	flags.DurationVar(&s.duration, "for", 30*time.Second, "how long the load of a series lasts")
	flags.IntVar(&s.processes, "processes", 3, "number of processes of the program in a series, 3 or more")
	flags.IntVar(&s.workers, "workers", 9, "number of workers in a series")
	flags.BoolVar(&s.regressions, "regressions", false, "play the seeds that ever failed")
	flags.StringSliceVar(&s.play, "margins-of", nil, "print the margins of a play of the bench from its output (--log all) and, for all disruptions, its report")
	flags.BoolVar(&s.single, "single", false, "play one case or seed in this process")
	if err := flags.MarkHidden("single"); err != nil {
		panic(err)
	}
	if err := cmd.Execute(); err != nil {
		os.Exit(1)
	}
}

// printMargins prints the margins of a bench's play.
func printMargins(files []string) error {
	var l margins.Log
	for _, name := range files {
		if err := l.ReadFile(name, time.Time{}); err != nil {
			return err
		}
	}
	play := margins.Of(l.History(), promises.DefaultBounds(), &l)
	fmt.Printf("%s  by reason:\n%s", play, margins.ByReason(play.Margins))
	return nil
}

// playHere plays one case and ends the process with its outcome as the exit code.
func playHere(s settings) error {
	outcome := cases.Run(cases.Options{Case: s.cases[0], Program: s.program, Record: os.Stdout, Fault: !s.noFault, Keep: s.keep != ""})
	os.Exit(int(outcome))
	return nil
}

// playSeedHere plays the series of one seed and writes its report to the directory.
func playSeedHere(s settings) error {
	report, err := series.Play(series.Options{
		Program: s.program, Directory: s.keep, Record: os.Stdout,
		Seed: s.seed, Duration: s.duration, Nodes: s.processes, Workers: s.workers, NoFaults: s.noFault,
	})
	if err != nil {
		return err
	}
	data, err := json.Marshal(report)
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(s.keep, textFile), []byte(report.String()), 0o600); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(s.keep, reportFile), data, 0o600)
}

// prepare checks that the program has been built, and returns the directory of the records.
func prepare(s settings) (dir string, err error) {
	if _, err := os.Stat(s.program); err != nil {
		return "", eris.Wrap(err, "program, which has to be built before")
	}
	if s.keep != "" {
		return s.keep, os.MkdirAll(s.keep, 0o700)
	}
	return os.MkdirTemp("", "chivetiller-soak-records-")
}

// playSeeds plays the series of all chosen seeds, each in a process of its own, and prints their reports.
func playSeeds(s settings, chosen bool) error {
	dir, err := prepare(s)
	if err != nil {
		return err
	}
	var seeds []uint64
	if s.regressions {
		seeds = series.RegressionSeeds()
	}
	if !chosen {
		s.seed = uint64(time.Now().Unix())
	}
	if chosen && s.seeds == 0 {
		s.seeds = 1
	}
	for i := range s.seeds {
		seeds = append(seeds, s.seed+uint64(i))
	}
	var group errgroup.Group
	group.SetLimit(s.jobs)
	reports := make([]*series.Report, len(seeds))
	for i, seed := range seeds {
		group.Go(func() (err error) {
			reports[i], err = playSeed(s, seed, filepath.Join(dir, fmt.Sprintf("seed-%d", seed)))
			return eris.Wrapf(err, "seed %d", seed)
		})
	}
	if err := group.Wait(); err != nil {
		return eris.Wrapf(err, "records are in %s", dir)
	}
	failed := 0
	for _, r := range reports {
		if !r.Held() {
			failed++
		}
	}
	var unchecked []promises.Promise
	if !s.noFault {
		unchecked = series.Unchecked(reports)
	}
	fmt.Print(series.Summary(reports))
	fmt.Printf("%d seeds, %d did not hold\n", len(reports), failed)
	if failed > 0 || len(unchecked) > 0 {
		return eris.Errorf("%d seeds did not hold, promises that were not checked: %v; records are in %s", failed, unchecked, dir)
	}
	if s.keep == "" {
		return os.RemoveAll(dir)
	}
	return nil
}

// child runs this program with other arguments, and returns its exit code. Its output goes to a file.
func child(output string, args ...string) (code int, err error) {
	file, err := os.Create(output)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	self, err := os.Executable()
	if err != nil {
		return 0, err
	}
	cmd := exec.Command(self, append([]string{"--single"}, args...)...)
	cmd.Stdout, cmd.Stderr = file, file
	if err := cmd.Run(); err != nil && cmd.ProcessState == nil {
		return 0, err
	}
	return cmd.ProcessState.ExitCode(), nil
}

// playSeed plays the series of a seed in a process of its own, and prints its report. The logs are kept if a promise was broken.
func playSeed(s settings, seed uint64, dir string) (*series.Report, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	code, err := child(filepath.Join(dir, recordFile), "--program", s.program, "--keep", dir, "--seed", fmt.Sprint(seed),
		"--for", s.duration.String(), "--processes", fmt.Sprint(s.processes), "--workers", fmt.Sprint(s.workers), fmt.Sprintf("--no-fault=%t", s.noFault))
	if err != nil || code != 0 {
		return nil, eris.Errorf("the play ended with exit code %d: %v", code, err)
	}
	data, err := os.ReadFile(filepath.Join(dir, reportFile))
	if err != nil {
		return nil, err
	}
	report := new(series.Report)
	if err := json.Unmarshal(data, report); err != nil {
		return nil, err
	}
	fmt.Print(report)
	if report.Held() && s.keep == "" {
		return report, os.RemoveAll(dir)
	}
	fmt.Printf("  record and logs: %s\n", dir)
	return report, nil
}

// playAll plays the chosen cases, each in a process of its own.
func playAll(s settings) error {
	if len(s.cases) == 1 && s.cases[0] == "all" {
		s.cases = cases.Names()
	}
	dir, err := prepare(s)
	if err != nil {
		return err
	}
	var group errgroup.Group
	group.SetLimit(s.jobs)
	outcomes := make([]cases.Outcome, s.plays*len(s.cases))
	for i := range outcomes {
		group.Go(func() (err error) {
			outcomes[i], err = play(s, s.cases[i%len(s.cases)], filepath.Join(dir, fmt.Sprintf("%s-%d.txt", s.cases[i%len(s.cases)], i/len(s.cases)+1)))
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	failed := 0
	for _, o := range outcomes {
		if o != cases.Held {
			failed++
		}
	}
	fmt.Printf("%d plays, %d did not hold\n", len(outcomes), failed)
	if failed > 0 {
		return eris.Errorf("records are in %s", dir)
	}
	if s.keep == "" {
		return os.RemoveAll(dir)
	}
	return nil
}

// play plays a case in a process of its own and writes its record to a file.
func play(s settings, name, record string) (cases.Outcome, error) {
	start := time.Now()
	code, err := child(record, "--case", name, "--program", s.program, "--keep", s.keep, fmt.Sprintf("--no-fault=%t", s.noFault))
	if err != nil {
		return cases.NotRun, err
	}
	outcome := cases.Outcome(code)
	fmt.Printf("%-24s %-8s %s  %s\n", name, outcome, time.Since(start).Round(time.Second), record)
	return outcome, nil
}
