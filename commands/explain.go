package commands

import (
	"errors"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/timeline"
)

func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [FILE...]",
		Short: "Show what the logs of all processes say about a job",
		Long: `Show the log lines about a job in order of time, together with those about its workers and about the leadership
of the deciding process. The first line that explains a failure or delay is marked. Without files, the logs are
read from standard input.`,
		Example: "  chivetiller explain 5c0e7a21d94b36f8 front-*.log",
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) == 0 {
				return newUsageError(eris.New("the ID of a job is missing"))
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, args []string) error {
			t := timeline.New(args[0])
			if len(args) == 1 {
				if err := t.Read(cmd.InOrStdin()); err != nil {
					return err
				}
			}
			for _, name := range args[1:] {
				if err := readLog(t, name); err != nil {
					return err
				}
			}
			return t.Write(cmd.OutOrStdout())
		},
	}
}

func readLog(t *timeline.Timeline, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return eris.Wrap(err, "open the log")
	}
	return errors.Join(t.Read(f), f.Close())
}
