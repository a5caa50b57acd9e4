package commands

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/settings"
)

func newSettingsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "settings",
		Short: "Work with settings files",
	}
	cmd.AddCommand(newSettingsCheckCommand())
	return cmd
}

func newSettingsCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings file without starting anything",
		Example: "  chivetiller settings check entry.yaml",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.Load(args[0]); err != nil {
				return newUsageError(err)
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s is valid\n", args[0])
			return err
		},
	}
}

// exactArgs is cobra.ExactArgs with usage errors (exit code 2).
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		return newUsageError(cobra.ExactArgs(n)(cmd, args))
	}
}
