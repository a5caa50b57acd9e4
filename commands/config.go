package commands

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/operator"
)

func newConfigCommand() *cobra.Command {
	var flags operatorFlags
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Export and import the configuration, and show its history and status",
	}
	flags.addTo(cmd)
	cmd.AddCommand(newConfigExportCommand(&flags), newConfigImportCommand(&flags), newConfigHistoryCommand(&flags), newConfigStatusCommand(&flags))
	return cmd
}

func newConfigExportCommand(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "export",
		Short:   "Print the whole configuration as YAML, with the hashes of keys",
		Example: "  chivetiller config export > configuration.yaml",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			data, err := client.Export(cmd.Context())
			if err != nil {
				return operatorError(err)
			}
			_, err = cmd.OutOrStdout().Write(data)
			return err
		},
	}
}

func newConfigImportCommand(flags *operatorFlags) *cobra.Command {
	var request operator.ApplyRequest
	cmd := &cobra.Command{
		Use:   "import FILE",
		Short: "Replace the whole configuration with an exported one",
		Long: "Import deletes every document that the file does not contain, and restores the keys of teams as they were exported,\n" +
			"including keys that were revoked since. Operator keys stay if the file contains none. Check with --dry-run first.",
		Example: "  chivetiller config import configuration.yaml --dry-run",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var err error
			if request.Files, err = readFiles(cmd.InOrStdin(), args); err != nil {
				return err
			}
			request.Import = true
			return runApply(cmd, flags, request)
		},
	}
	cmd.Flags().BoolVar(&request.DryRun, "dry-run", false, "check and show the difference only")
	cmd.Flags().StringVar(&request.Reason, "reason", "", "reason to record in the history")
	return cmd
}

func newConfigHistoryCommand(flags *operatorFlags) *cobra.Command {
	var (
		before uint64
		limit  int
	)
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "List changes, the latest first",
		Example: "  chivetiller config history --limit 50",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if limit < 1 {
				return newUsageError(eris.Errorf("limit %d is less than 1", limit))
			}
			client, err := flags.client()
			if err != nil {
				return err
			}
			changes, err := client.History(cmd.Context(), before, limit)
			if err != nil {
				return operatorError(err)
			}
			rows := make([][]string, 0, len(changes))
			for _, c := range changes {
				refs := make([]string, 0, len(c.Puts)+len(c.Deletes))
				for _, ref := range c.Refs() {
					refs = append(refs, ref.String())
				}
				rows = append(rows, []string{strconv.FormatUint(c.Version, 10), c.Time.Format(time.RFC3339), c.Author, strings.Join(refs, " "), c.Reason})
			}
			return flags.printOutput(cmd, changes, []string{"VERSION", "TIME", "AUTHOR", "DOCUMENTS", "REASON"}, rows)
		},
	}
	cmd.Flags().Uint64Var(&before, "before", 0, "list changes before this version; 0 starts with the latest")
	cmd.Flags().IntVar(&limit, "limit", 20, "maximum number of changes")
	return cmd
}

func newConfigStatusCommand(flags *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show which configuration version each entry instance has",
		Example: "  chivetiller config status",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			status, err := client.Status(cmd.Context())
			if err != nil {
				return operatorError(err)
			}
			seconds := func(s float64) string { return strconv.FormatFloat(s, 'f', 1, 64) + "s" }
			rows := [][]string{{"(answering)", "", "alive", strconv.FormatUint(status.Version, 10), seconds(status.AgeSeconds)}}
			for _, m := range status.Members {
				rows = append(rows, []string{m.ID, m.DataCentre, m.State, strconv.FormatUint(m.Version, 10), seconds(m.LastContactSeconds)})
			}
			return flags.printOutput(cmd, status, []string{"INSTANCE", "DATA CENTRE", "STATE", "VERSION", "CONFIRMED OR HEARD"}, rows)
		},
	}
}
