package commands

import (
	"net/http"
	"net/url"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/duty"
	"github.com/chivetiller/chivetiller/pool"
)

const instancesPath = "/operator/instances"

func newInstanceCommand() *cobra.Command {
	var flags operatorFlags
	cmd := &cobra.Command{Use: "instance", Short: "Show instances and change their pools"}
	flags.addTo(cmd)
	cmd.AddCommand(newInstanceListCommand(&flags), newInstanceAssignCommand(&flags), newInstanceRemoveCommand(&flags))
	return cmd
}

func newInstanceListCommand(flags *operatorFlags) *cobra.Command {
	var name string
	cmd := &cobra.Command{
		Use:     "list",
		Short:   "List instances with their pools and states",
		Example: "  chivetiller instance list --pool shiftDesk",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var all []duty.InstanceView
			if err := flags.call(cmd, http.MethodGet, instancesPath+"?pool="+url.QueryEscape(name), nil, &all); err != nil {
				return err
			}
			rows := make([][]string, 0, len(all))
			for _, each := range all {
				rows = append(rows, []string{
					each.ID, each.Pool, each.DataCentre, each.Rack, string(each.State), orDash(each.Operation),
					orDash(string(each.Platform)), strconv.Itoa(each.InFlight),
				})
			}
			return flags.printOutput(cmd, all, []string{"ID", "POOL", "DATA CENTRE", "RACK", "STATE", "OPERATION", "PLATFORM", "IN FLIGHT"}, rows)
		},
	}
	cmd.Flags().StringVar(&name, "pool", "", "list this pool only")
	return cmd
}

func newInstanceAssignCommand(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "assign ID POOL",
		Short:   "Assign an instance to a pool permanently",
		Long:    "An instance without a pool joins at once. An instance of another pool is drained and rebooted before it joins, within the availability budget of its present pool.",
		Example: "  chivetiller instance assign worker-17 shiftDesk",
		Args:    usageArgs(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var in pool.Instance
			path := instancesPath + "/" + url.PathEscape(args[0]) + "/pool"
			if err := flags.call(cmd, http.MethodPut, path, map[string]string{"pool": args[1]}, &in); err != nil {
				return err
			}
			row := []string{in.ID, in.Pool, orDash(in.TargetPool), string(in.State)}
			return flags.printOutput(cmd, in, []string{"ID", "POOL", "TARGET", "STATE"}, [][]string{row})
		},
	}
}

func newInstanceRemoveCommand(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "remove ID",
		Short:   "Remove the record of an instance that the platform no longer has",
		Example: "  chivetiller instance remove worker-17",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return flags.call(cmd, http.MethodDelete, instancesPath+"/"+url.PathEscape(args[0]), nil, nil)
		},
	}
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

// usageArgs returns a check whose errors are usage errors (exit code 2).
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error { return newUsageError(check(cmd, args)) }
}
