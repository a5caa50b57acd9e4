package commands

import (
	"net/http"
	"net/url"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/job"
)

const jobsPath = "/operator/jobs"

func newJobCommand() *cobra.Command {
	var flags operatorFlags
	cmd := &cobra.Command{Use: "job", Short: "Submit, show and cancel jobs"}
	flags.addTo(cmd)
	cmd.AddCommand(newJobSubmitCommand(&flags), newJobListCommand(&flags), newJobWhereCommand(&flags))
	for _, each := range []struct{ use, short, method string }{
		{"show", "Show a job", http.MethodGet},
		{"cancel", "Cancel a job", http.MethodDelete},
	} {
		cmd.AddCommand(&cobra.Command{
			Use:     each.use + " ID",
			Short:   each.short,
			Example: "  chivetiller job " + each.use + " dc1.0193aa10-1c5e-7c3e-9d0b-1f1f0a9d6c11",
			Args:    usageArgs(cobra.ExactArgs(1)),
			RunE: func(cmd *cobra.Command, args []string) error {
				var j job.Job
				if err := flags.call(cmd, each.method, jobsPath+"/"+url.PathEscape(args[0]), nil, &j); err != nil {
					return err
				}
				return printJobs(cmd, &flags, j, j)
			},
		})
	}
	return cmd
}

func newJobSubmitCommand(flags *operatorFlags) *cobra.Command {
	var spec job.Spec
	var file string
	cmd := &cobra.Command{
		Use:     "submit",
		Short:   "Submit a job",
		Example: "  chivetiller job submit --kind dyeRun --team planning --cores 4 --memory 8589934592",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if file != "" {
				if err := readDocument(file, &spec); err != nil {
					return err
				}
			}
			var j job.Job
			if err := flags.call(cmd, http.MethodPost, jobsPath, spec, &j); err != nil {
				return err
			}
			return printJobs(cmd, flags, j, j)
		},
	}
	set := cmd.Flags()
	set.StringVar(&file, "file", "", "YAML file with the document of the job")
	set.StringVar(&spec.Kind, "kind", "", "kind of the job; sizes and run times are learned for each kind")
	set.StringVar(&spec.Team, "team", "", "team of the job")
	set.StringVar(&spec.DataCentre, "data-centre", "", "data centre of the job; chosen automatically if not given")
	set.BoolVar(&spec.Urgent, "urgent", false, "place the job before others")
	set.Float64Var(&spec.Cores, "cores", 1, "number of processors")
	set.Int64Var(&spec.Memory, "memory", 1<<30, "memory in bytes")
	set.IntVar(&spec.Accelerators, "accelerators", 0, "number of accelerators")
	return cmd
}

func newJobListCommand(flags *operatorFlags) *cobra.Command {
	var dataCentre string
	cmd := &cobra.Command{
		Use:     "list",
		Short:   "List jobs",
		Example: "  chivetiller job list --data-centre dc1",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			var all []job.Job
			if err := flags.call(cmd, http.MethodGet, jobsPath+"?dataCentre="+url.QueryEscape(dataCentre), nil, &all); err != nil {
				return err
			}
			return printJobs(cmd, flags, all, all...)
		},
	}
	cmd.Flags().StringVar(&dataCentre, "data-centre", "", "list the jobs of this data centre only")
	return cmd
}

func printJobs(cmd *cobra.Command, flags *operatorFlags, value any, jobs ...job.Job) error {
	rows := make([][]string, 0, len(jobs))
	for _, j := range jobs {
		rows = append(rows, []string{j.ID, j.Spec.Kind, j.Spec.Team, string(j.State), strconv.Itoa(j.Attempt), orDash(j.Worker), orDash(j.Reason)})
	}
	return flags.printOutput(cmd, value, []string{"ID", "KIND", "TEAM", "STATE", "ATTEMPT", "WORKER", "REASON"}, rows)
}
