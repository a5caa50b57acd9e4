package commands

import (
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/burn"
	"github.com/chivetiller/chivetiller/burn/page"
)

const burnPath = "/operator/burn"

func newReportCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "report",
		Short: "Make reports",
	}
	cmd.AddCommand(newReportBurnCommand())
	return cmd
}

func newReportBurnCommand() *cobra.Command {
	var flags operatorFlags
	var format string
	cmd := &cobra.Command{
		Use:   "burn",
		Short: "Report attainment of targets and burn of error budgets",
		Long: `Report for each class, and each team in it, how many requests met the target, how fast the error budget burns
over 5 minutes, 1 hour, 6 hours and 3 days, and how much of it is left. At a burn rate of 1 the budget is just used up.
Periods without data are listed as gaps.`,
		Example: "  chivetiller report burn\n  chivetiller report burn --format html > burn.html",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			to := page.Format(format)
			if to != page.Text && to != page.JSON && to != page.HTML {
				return newUsageError(eris.Errorf("format %q is none of text, json and html", format))
			}
			var report burn.Report
			if err := flags.call(cmd, http.MethodGet, burnPath, nil, &report); err != nil {
				return err
			}
			return page.Write(cmd.OutOrStdout(), report, to)
		},
	}
	flags.addTo(cmd)
	cmd.Flags().StringVar(&format, "format", string(page.Text), "format: text, json or html")
	return cmd
}
