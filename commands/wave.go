package commands

import (
	"net/http"
	"net/url"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/duty"
	"github.com/chivetiller/chivetiller/wave"
)

const wavesPath = "/operator/waves"

func newWaveCommand() *cobra.Command {
	var flags operatorFlags
	cmd := &cobra.Command{
		Use:   "wave",
		Short: "Run maintenance waves",
		Long:  "A wave drains, reboots and returns every instance of its pools, as fast as their availability budgets allow.",
	}
	flags.addTo(cmd)
	cmd.AddCommand(newWaveStartCommand(&flags), newWaveListCommand(&flags), newWaveShowCommand(&flags))
	for action, short := range map[string]string{
		duty.ActionPause:  "Pause a wave; drains and reboots in progress are finished",
		duty.ActionResume: "Resume a paused wave",
		duty.ActionAbort:  "Abort a wave; draining instances return without a reboot",
	} {
		cmd.AddCommand(&cobra.Command{
			Use:     action + " NAME",
			Short:   short,
			Example: "  chivetiller wave " + action + " kernel",
			Args:    usageArgs(cobra.ExactArgs(1)),
			RunE: func(cmd *cobra.Command, args []string) error {
				var p wave.Progress
				if err := flags.call(cmd, http.MethodPost, wavesPath+"/"+url.PathEscape(args[0])+"/"+action, nil, &p); err != nil {
					return err
				}
				return printWaves(cmd, &flags, p, p)
			},
		})
	}
	return cmd
}

func newWaveStartCommand(flags *operatorFlags) *cobra.Command {
	var spec wave.Spec
	var file string
	cmd := &cobra.Command{
		Use:     "start [NAME]",
		Short:   "Start a wave",
		Example: "  chivetiller wave start kernel --pool shiftDesk --pool flagOffice\n  chivetiller wave start --file kernel.yaml",
		Args:    usageArgs(cobra.MaximumNArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			if file != "" {
				if err := readDocument(file, &spec); err != nil {
					return err
				}
			}
			if len(args) > 0 {
				spec.Name = args[0]
			}
			var p wave.Progress
			if err := flags.call(cmd, http.MethodPost, wavesPath, spec, &p); err != nil {
				return err
			}
			return printWaves(cmd, flags, p, p)
		},
	}
	cmd.Flags().StringVar(&file, "file", "", "YAML file with the document of the wave")
	cmd.Flags().StringSliceVar(&spec.Pools, "pool", nil, "pool to maintain; may be repeated; all if not given")
	cmd.Flags().StringSliceVar(&spec.Instances, "instance", nil, "instance to maintain; may be repeated; all instances of the pools if not given")
	cmd.Flags().StringVar(&spec.DrainLimit, "drain-limit", "", "how long a drain may take before the policy applies")
	cmd.Flags().StringVar((*string)(&spec.Policy), "policy", "", "at the drain limit: wait or skip")
	return cmd
}

func newWaveListCommand(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List waves",
		Example: "  chivetiller wave list --output json",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var all []wave.Progress
			if err := flags.call(cmd, http.MethodGet, wavesPath, nil, &all); err != nil {
				return err
			}
			return printWaves(cmd, flags, all, all...)
		},
	}
}

func newWaveShowCommand(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "show NAME",
		Short:   "Show the progress of a wave in each pool",
		Example: "  chivetiller wave show kernel",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var p wave.Progress
			if err := flags.call(cmd, http.MethodGet, wavesPath+"/"+url.PathEscape(args[0]), nil, &p); err != nil {
				return err
			}
			rows := make([][]string, 0, len(p.Pools))
			for _, each := range p.Pools {
				rows = append(rows, append([]string{each.Pool}, progressColumns(each)...))
			}
			return flags.printOutput(cmd, p, []string{"POOL", "SIZE", "REBOOTED", "SKIPPED", "STOPPING", "FAILED", "PENDING", "STUCK"}, rows)
		},
	}
}

func progressColumns(p wave.PoolProgress) []string {
	return []string{
		strconv.Itoa(p.Size), strconv.Itoa(p.Rebooted), strconv.Itoa(p.Skipped), strconv.Itoa(p.Stopping),
		strconv.Itoa(p.Failed), strconv.Itoa(p.Pending), strconv.FormatBool(p.Stuck),
	}
}

// printWaves prints value as JSON, or one line for each wave with the sums over its pools.
func printWaves(cmd *cobra.Command, flags *operatorFlags, value any, waves ...wave.Progress) error {
	rows := make([][]string, 0, len(waves))
	for _, w := range waves {
		var sum wave.PoolProgress
		for _, p := range w.Pools {
			sum.Size += p.Size
			sum.Rebooted += p.Rebooted
			sum.Skipped += p.Skipped
			sum.Stopping += p.Stopping
			sum.Failed += p.Failed
			sum.Pending += p.Pending
			sum.Stuck = sum.Stuck || p.Stuck
		}
		rows = append(rows, append(append([]string{w.Name, string(w.State)}, progressColumns(sum)...), formatTime(w.ExpectedEnd)))
	}
	header := []string{"NAME", "STATE", "SIZE", "REBOOTED", "SKIPPED", "STOPPING", "FAILED", "PENDING", "STUCK", "EXPECTED END"}
	return flags.printOutput(cmd, value, header, rows)
}
