package commands

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/operator"
)

func newKeyCommand() *cobra.Command {
	var flags operatorFlags
	cmd := &cobra.Command{
		Use:   "key",
		Short: "Issue and revoke operator keys",
	}
	flags.addTo(cmd)
	list := newListCommand(&flags, config.KindOperatorKey, []string{"NAME", "KEY ID"}, func(spec any) []string {
		key, _ := spec.(config.OperatorKeySpec)
		return []string{key.Name, key.Key.ID}
	})
	list.Short, list.Example = "List operator keys", "  chivetiller key list"
	withdraw := newDeleteCommand(&flags, config.KindOperatorKey)
	withdraw.Use, withdraw.Short, withdraw.Example = "withdraw NAME", "Revoke an operator key", "  chivetiller key withdraw nadia"
	create := newKeyCreateCommand(&flags, "NAME", "Issue an operator key and print it once", "  chivetiller key create nadia",
		(*operator.Client).CreateOperatorKey)
	cmd.AddCommand(create, list, withdraw)
	return cmd
}

// newKeyCreateCommand returns a command that issues a key. Only the key is printed to the standard output, so that it
// can be redirected into a file; the explanation goes to the standard error.
func newKeyCreateCommand(flags *operatorFlags, argument, short, example string,
	create func(c *operator.Client, ctx context.Context, name string) (string, operator.Change, error)) *cobra.Command {
	return &cobra.Command{
		Use:     "create " + argument,
		Short:   short,
		Example: example,
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			key, change, err := create(client, cmd.Context(), args[0])
			if err != nil {
				return operatorError(err)
			}
			if flags.output == "json" {
				return flags.printOutput(cmd, struct {
					Key    string          `json:"key"`
					Change operator.Change `json:"change"`
				}{key, change}, nil, nil)
			}
			fmt.Fprintln(cmd.OutOrStdout(), key)
			fmt.Fprintf(cmd.ErrOrStderr(), "The key is not stored and cannot be shown again. Its ID is the part before the dot. Version %d.\n", change.Version)
			return nil
		},
	}
}
