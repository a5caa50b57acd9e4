// Command run plays the cases of the soak, each in a process of its own, and prints a line for each play.
//
//	go run ./internal/soak/run --case all --plays 5
//
// The exit code is 0 only if each promise held in each play.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/chivetiller/chivetiller/internal/soak/cases"
)

// settings are the flags of the command.
type settings struct {
	cases   []string
	plays   int
	jobs    int
	program string
	keep    string
	noFault bool
	single  bool
}

func main() {
	var s settings
	cmd := &cobra.Command{
		Use: "run", Short: "Plays the cases of the soak", Args: cobra.NoArgs, SilenceUsage: true,
		RunE: func(*cobra.Command, []string) error {
			if s.single {
				return playHere(s)
			}
			return playAll(s)
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&s.cases, "case", []string{"all"}, "names of cases, or all")
	flags.IntVar(&s.plays, "plays", 1, "number of plays of each case")
	flags.IntVar(&s.jobs, "jobs", 5, "number of plays at the same time")
	flags.StringVar(&s.program, "program", "target/chivetiller", "path of the program")
	flags.StringVar(&s.keep, "keep", "", "directory in which the records of all plays are kept; without it only those that did not hold are")
	flags.BoolVar(&s.noFault, "no-fault", false, "play the cases without their faults")
	flags.BoolVar(&s.single, "single", false, "play one case in this process")
	if err := flags.MarkHidden("single"); err != nil {
		panic(err)
	}
	if err := cmd.Execute(); err != nil {
		os.Exit(1)
	}
}

// playHere plays one case and ends the process with its outcome as the exit code.
func playHere(s settings) error {
	outcome := cases.Run(cases.Options{Case: s.cases[0], Program: s.program, Record: os.Stdout, Fault: !s.noFault, Keep: s.keep != ""})
	os.Exit(int(outcome))
	return nil
}

// playAll plays the chosen cases, each in a process of its own.
func playAll(s settings) error {
	if len(s.cases) == 1 && s.cases[0] == "all" {
		s.cases = cases.Names()
	}
	if _, err := os.Stat(s.program); err != nil {
		return eris.Wrap(err, "program, which has to be built before")
	}
	dir := s.keep
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "chivetiller-soak-records-"); err != nil {
			return err
		}
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
	file, err := os.Create(record)
	if err != nil {
		return cases.NotRun, err
	}
	defer func() { _ = file.Close() }()
	args := []string{"--single", "--case", name, "--program", s.program, "--keep", s.keep}
	if s.noFault {
		args = append(args, "--no-fault")
	}
	self, err := os.Executable()
	if err != nil {
		return cases.NotRun, err
	}
	start := time.Now()
	cmd := exec.Command(self, args...)
	cmd.Stdout, cmd.Stderr = file, file
	if err := cmd.Run(); err != nil && cmd.ProcessState == nil {
		return cases.NotRun, err
	}
	outcome := cases.Outcome(cmd.ProcessState.ExitCode())
	fmt.Printf("%-24s %-8s %s  %s\n", name, outcome, time.Since(start).Round(time.Second), record)
	return outcome, nil
}
