package commands

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/internal/settings/serving"
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
	var serve bool
	cmd := &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a settings file without starting anything",
		Example: "  chivetiller settings check entry.yaml\n  chivetiller settings check --serve serve.yaml",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var err error
			if serve {
				_, err = serving.Load(args[0])
			} else {
				_, err = settings.Load(args[0])
			}
			if err != nil {
				return newUsageError(err)
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s is valid\n", args[0])
			return err
		},
	}
	cmd.Flags().BoolVar(&serve, "serve", false, "the file is the one that \"serve --config\" names")
	return cmd
}

// exactArgs is cobra.ExactArgs with usage errors (exit code 2).
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		return newUsageError(cobra.ExactArgs(n)(cmd, args))
	}
}
