package commands

import (
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/operator"
)

func newApplyCommand() *cobra.Command {
	var (
		flags   operatorFlags
		request operator.ApplyRequest
		deletes []string
	)
	cmd := &cobra.Command{
		Use:   "apply FILE...",
		Short: "Change the configuration",
		Long: "Apply writes the documents of YAML files in one transaction, after checking that the whole configuration is consistent.\n" +
			"A file named - is the standard input. A team whose document lists no keys keeps its present keys.",
		Example: "  chivetiller apply pools.yaml classes.yaml --dry-run\n  chivetiller apply --delete Class/dyePlan --reason \"plans moved\"",
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args)+len(deletes) == 0 {
				return newUsageError(eris.New("apply needs a file or --delete"))
			}
			var err error
			if request.Files, err = readFiles(cmd.InOrStdin(), args); err != nil {
				return err
			}
			for _, text := range deletes {
				ref, err := config.ParseRef(text)
				if err != nil {
					return newUsageError(err)
				}
				request.Deletes = append(request.Deletes, ref)
			}
			return runApply(cmd, &flags, request)
		},
	}
	flags.addTo(cmd)
	cmd.Flags().BoolVar(&request.DryRun, "dry-run", false, "check and show the difference only")
	cmd.Flags().Uint64Var(&request.Base, "base", 0, "fail if the configuration has changed since this version")
	cmd.Flags().StringVar(&request.Reason, "reason", "", "reason to record in the history")
	cmd.Flags().StringArrayVar(&deletes, "delete", nil, "document to delete, as Kind/name; may be repeated")
	return cmd
}

// runApply sends the documents to the operator API. It decodes them first, so that faults in them are found without an
// entry instance.
func runApply(cmd *cobra.Command, flags *operatorFlags, request operator.ApplyRequest) error {
	if _, _, err := config.Decode(request.Files...); err != nil {
		return newUsageError(err)
	}
	client, err := flags.client()
	if err != nil {
		return err
	}
	change, err := client.Apply(cmd.Context(), request)
	if err != nil {
		return operatorError(err)
	}
	return printChange(cmd, flags, change, request.DryRun)
}

func readFiles(stdin io.Reader, names []string) ([]config.File, error) {
	files := make([]config.File, 0, len(names))
	for _, name := range names {
		var (
			data []byte
			err  error
		)
		if name == "-" {
			data, err = io.ReadAll(stdin)
		} else {
			data, err = os.ReadFile(name)
		}
		if err != nil {
			return nil, newUsageError(err)
		}
		files = append(files, config.File{Name: name, Data: string(data)})
	}
	return files, nil
}
