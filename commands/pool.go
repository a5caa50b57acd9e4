package commands

import (
	"strconv"

	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/pool"
)

func newPoolCommand() *cobra.Command {
	var flags operatorFlags
	cmd := &cobra.Command{
		Use:   "pool",
		Short: "Show pools of instances",
	}
	flags.addTo(cmd)
	list := newListCommand(&flags, config.KindPool, []string{"NAME", "MAX UNAVAILABLE", "PER RACK", "PER DATA CENTRE", "SPARE"}, func(spec any) []string {
		p, _ := spec.(pool.Spec)
		return []string{p.Name, p.MaxUnavailable, p.MaxUnavailablePerRack, p.MaxUnavailablePerDataCentre, strconv.FormatBool(p.Spare)}
	})
	cmd.AddCommand(list, newShowCommand(&flags, config.KindPool), newDeleteCommand(&flags, config.KindPool))
	return cmd
}
