package commands

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/operator"
)

// client returns a client of the operator API for the flags.
func (f *operatorFlags) client() (*operator.Client, error) {
	f.applyEnvironment()
	if f.output != "table" && f.output != "json" {
		return nil, newUsageError(eris.Errorf("output %q is neither table nor json", f.output))
	}
	key := ""
	if f.keyFile != "" {
		data, err := os.ReadFile(f.keyFile)
		if err != nil {
			return nil, newUsageError(err)
		}
		key = strings.TrimSpace(string(data))
	}
	client, err := operator.NewClient(f.operator, key)
	return client, newUsageError(err)
}

// operatorError marks err as a usage error (exit code 2) if the operator API rejected the documents or arguments.
func operatorError(err error) error {
	var apiError *operator.Error
	if errors.As(err, &apiError) && (apiError.Status() == http.StatusBadRequest || apiError.Status() == http.StatusUnprocessableEntity) {
		return newUsageError(err)
	}
	return err
}

// printChange writes the outcome of a change.
func printChange(cmd *cobra.Command, flags *operatorFlags, change operator.Change, dryRun bool) error {
	if flags.output == "json" {
		return flags.printOutput(cmd, change, nil, nil)
	}
	w := cmd.OutOrStdout()
	for _, d := range change.Difference {
		fmt.Fprintln(w, d)
	}
	switch {
	case dryRun:
		fmt.Fprintf(w, "Dry run at version %d: nothing was changed.\n", change.Version)
	case !change.Changed:
		fmt.Fprintf(w, "Nothing to change at version %d.\n", change.Version)
	case change.InForce:
		fmt.Fprintf(w, "Version %d is in force everywhere.\n", change.Version)
	default:
		const layout = "2006-01-02 15:04:05 MST"
		fmt.Fprintf(w, "Version %d is accepted and pending at %s. Changes of keys are in force everywhere by %s.\n",
			change.Version, strings.Join(change.Pending.Waiting, ", "), change.Pending.Latest.Format(layout))
	}
	return nil
}

// newListCommand returns a command that lists the documents of a kind.
func newListCommand(flags *operatorFlags, kind config.Kind, header []string, row func(spec any) []string) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the documents of the kind",
		Example: "  chivetiller " + strings.ToLower(string(kind)) + " list",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			return printDocuments(cmd, flags, kind, "", header, row)
		},
	}
}

// newShowCommand returns a command that prints one document as YAML, in the form that apply reads.
func newShowCommand(flags *operatorFlags, kind config.Kind) *cobra.Command {
	return &cobra.Command{
		Use:     "show NAME",
		Short:   "Print one document as YAML, in the form that apply reads",
		Example: "  chivetiller " + strings.ToLower(string(kind)) + " show NAME > document.yaml",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			_, documents, err := client.Get(cmd.Context(), kind, args[0])
			if err != nil {
				return operatorError(err)
			}
			if flags.output == "json" {
				return flags.printOutput(cmd, documents, nil, nil)
			}
			data, err := config.Encode(documents)
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(data)
			return err
		},
	}
}

// newDeleteCommand returns a command that deletes one document.
func newDeleteCommand(flags *operatorFlags, kind config.Kind) *cobra.Command {
	var dryRun bool
	cmd := &cobra.Command{
		Use:     "delete NAME",
		Short:   "Delete one document",
		Example: "  chivetiller " + strings.ToLower(string(kind)) + " delete NAME --dry-run",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			change, err := client.Apply(cmd.Context(), operator.ApplyRequest{
				Deletes: []config.Ref{{Kind: kind, Name: args[0]}}, DryRun: dryRun,
			})
			if err != nil {
				return operatorError(err)
			}
			return printChange(cmd, flags, change, dryRun)
		},
	}
	cmd.Flags().BoolVar(&dryRun, "dry-run", false, "check and show the difference only")
	return cmd
}

func printDocuments(cmd *cobra.Command, flags *operatorFlags, kind config.Kind, name string, header []string, row func(spec any) []string) error {
	client, err := flags.client()
	if err != nil {
		return err
	}
	_, documents, err := client.Get(cmd.Context(), kind, name)
	if err != nil {
		return operatorError(err)
	}
	rows := make([][]string, 0, len(documents))
	for _, d := range documents {
		rows = append(rows, row(d.Spec))
	}
	return flags.printOutput(cmd, documents, header, rows)
}
