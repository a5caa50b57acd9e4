package commands

import (
	"strconv"

	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/config"
)

func newClassCommand() *cobra.Command {
	var flags operatorFlags
	cmd := &cobra.Command{
		Use:   "class",
		Short: "Show classes of work",
	}
	flags.addTo(cmd)
	list := newListCommand(&flags, config.KindClass, []string{"NAME", "POOL", "TARGET", "SHARE", "OPEN", "URGENT"}, func(spec any) []string {
		c, _ := spec.(class.Spec)
		return []string{c.Name, c.Pool, c.Target, strconv.FormatFloat(c.Share, 'g', -1, 64), strconv.FormatBool(c.Open), strconv.FormatBool(c.Urgent)}
	})
	cmd.AddCommand(list, newShowCommand(&flags, config.KindClass), newDeleteCommand(&flags, config.KindClass))
	return cmd
}
