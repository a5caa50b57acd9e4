package commands

import (
	"strconv"

	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/operator"
	"github.com/chivetiller/chivetiller/team"
)

func newTeamCommand() *cobra.Command {
	var flags operatorFlags
	cmd := &cobra.Command{
		Use:   "team",
		Short: "Show teams, and issue and revoke their keys",
	}
	flags.addTo(cmd)
	list := newListCommand(&flags, config.KindTeam, []string{"NAME", "SHARE", "UPPER LIMIT", "KEYS"}, func(spec any) []string {
		t, _ := spec.(team.Spec)
		return []string{t.Name, strconv.FormatFloat(t.Share, 'g', -1, 64), strconv.Itoa(t.UpperLimit), strconv.Itoa(len(t.Keys))}
	})
	cmd.AddCommand(list, newShowCommand(&flags, config.KindTeam), newDeleteCommand(&flags, config.KindTeam), newTeamKeyCommand(&flags))
	return cmd
}

func newTeamKeyCommand(flags *operatorFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "key",
		Short: "Issue and revoke keys of a team",
	}
	create := newKeyCreateCommand(flags, "TEAM", "Issue a key for a team and print it once", "  chivetiller team key create supervisors",
		(*operator.Client).CreateKey)
	list := &cobra.Command{
		Use:     "list TEAM",
		Short:   "List the IDs of the keys of a team",
		Example: "  chivetiller team key list supervisors",
		Args:    usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			_, documents, err := client.Get(cmd.Context(), config.KindTeam, args[0])
			if err != nil {
				return operatorError(err)
			}
			ids := []string{}
			rows := [][]string{}
			for _, d := range documents {
				spec, _ := d.Spec.(team.Spec)
				for _, key := range spec.Keys {
					ids = append(ids, key.ID)
					rows = append(rows, []string{key.ID})
				}
			}
			return flags.printOutput(cmd, ids, []string{"KEY ID"}, rows)
		},
	}
	withdraw := &cobra.Command{
		Use:     "withdraw TEAM ID",
		Short:   "Revoke a key of a team and report where that is in force",
		Example: "  chivetiller team key withdraw supervisors supervisors-1f9a03bc",
		Args:    usageArgs(cobra.ExactArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := flags.client()
			if err != nil {
				return err
			}
			change, err := client.RevokeKey(cmd.Context(), args[0], args[1])
			if err != nil {
				return operatorError(err)
			}
			return printChange(cmd, flags, change, false)
		},
	}
	cmd.AddCommand(create, list, withdraw)
	return cmd
}
