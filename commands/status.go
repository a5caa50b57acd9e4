package commands

import (
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/status"
)

const (
	statusPath = "/operator/status"
	// clearScreen is the escape sequence that moves the cursor to the top left of a terminal and clears the screen.
	clearScreen = "\x1b[H\x1b[2J"
)

func newStatusCommand() *cobra.Command {
	var flags operatorFlags
	var all bool
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show on one screen whether targets are met and what needs attention",
		Long: `Show whether targets are met, which pools are short, which waves run, and which entry instances are unreachable,
as seen by the entry instance that responds. What needs attention comes first.`,
		Example: "  chivetiller status\n  chivetiller status --all\n  chivetiller status --output json",
		Args:    usageArgs(cobra.NoArgs),
		RunE:    func(cmd *cobra.Command, _ []string) error { return printStatus(cmd, &flags, all) },
	}
	flags.addTo(cmd)
	cmd.Flags().BoolVar(&all, "all", false, "show all rows")
	return cmd
}

func newTopCommand() *cobra.Command {
	var flags operatorFlags
	var interval time.Duration
	var count int
	cmd := &cobra.Command{
		Use:     "top",
		Short:   "Show the status repeatedly",
		Example: "  chivetiller top --interval 5s",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if interval <= 0 {
				return newUsageError(fmt.Errorf("interval %s is not greater than 0", interval))
			}
			for n := 0; count == 0 || n < count; n++ {
				if n > 0 {
					select {
					case <-time.After(interval):
					case <-cmd.Context().Done():
						return nil
					}
				}
				fmt.Fprint(cmd.OutOrStdout(), clearScreen)
				if err := printStatus(cmd, &flags, false); err != nil {
					return err
				}
			}
			return nil
		},
	}
	flags.addTo(cmd)
	cmd.Flags().DurationVar(&interval, "interval", 2*time.Second, "time between two screens")
	cmd.Flags().IntVar(&count, "count", 0, "number of screens; 0 means no limit")
	return cmd
}

func printStatus(cmd *cobra.Command, flags *operatorFlags, all bool) error {
	var report status.Report
	if err := flags.call(cmd, http.MethodGet, statusPath, nil, &report); err != nil {
		return err
	}
	if flags.output == outputJSON {
		return flags.printOutput(cmd, report, nil, nil)
	}
	limit := status.DefaultRows
	if all {
		limit = 0
	}
	return status.Write(cmd.OutOrStdout(), report, limit)
}
