package commands

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/metrics"
)

// metricsTimeout is the time limit for reading the metrics of a process.
const metricsTimeout = 5 * time.Second

func newEvacuationCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "evacuation",
		Short: "Show evacuated data centres",
		Long:  "In an evacuated data centre no task is started. The operator evacuates a data centre with a row in the store.",
	}
	cmd.AddCommand(newEvacuationListCommand())
	return cmd
}

// evacuatedDataCentre is an evacuated data centre as the processes that were asked know it.
type evacuatedDataCentre struct {
	DataCentre string `json:"dataCentre"`
	// ForSeconds is the longest time for which one of them has known of the evacuation, and Processes how many of them do.
	ForSeconds float64 `json:"forSeconds"`
	Processes  int     `json:"processes"`
	// Runs is the number of runs that are left, and nil if no leader is among them.
	Runs *int `json:"runs,omitempty"`
}

func newEvacuationListCommand() *cobra.Command {
	var addresses []string
	var output operatorFlags
	cmd := &cobra.Command{
		Use:   "list",
		Short: "List evacuated data centres, since when, and how many runs are left there",
		Long: `List the data centres that the processes at the given metrics addresses know to be evacuated. How many runs are left there is known
if one of the processes is the leader.`,
		Example: "  chivetiller evacuation list --metrics 10.0.0.1:9100,10.0.0.2:9100",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := output.checkOutput(); err != nil {
				return err
			}
			found := make(map[string]*evacuatedDataCentre)
			for _, address := range addresses {
				if err := addEvacuations(cmd.Context(), address, found); err != nil {
					return eris.Wrapf(err, "metrics of %s", address)
				}
			}
			return printEvacuations(cmd, &output, found)
		},
	}
	cmd.Flags().StringSliceVar(&addresses, "metrics", nil, "metrics addresses of processes, the leader for the number of runs")
	cmd.Flags().StringVar(&output.output, "output", outputTable, "output format: table or json")
	_ = cmd.MarkFlagRequired("metrics")
	return cmd
}

// addEvacuations adds what the metrics of a process tell of evacuations.
func addEvacuations(ctx context.Context, address string, found map[string]*evacuatedDataCentre) error {
	families, err := readMetrics(ctx, address)
	if err != nil {
		return err
	}
	each := func(name string, f func(e *evacuatedDataCentre, value float64)) {
		for _, m := range families[name].GetMetric() {
			dataCentre := labelOf(m, metrics.DataCentreLabel)
			if found[dataCentre] == nil {
				found[dataCentre] = &evacuatedDataCentre{DataCentre: dataCentre}
			}
			f(found[dataCentre], m.GetGauge().GetValue())
		}
	}
	each(metrics.EvacuatedForName, func(e *evacuatedDataCentre, value float64) {
		e.Processes++
		e.ForSeconds = max(e.ForSeconds, value)
	})
	each(metrics.EvacuationRunsName, func(e *evacuatedDataCentre, value float64) {
		runs := int(value)
		e.Runs = &runs
	})
	return nil
}

// readMetrics reads the metrics of a process.
func readMetrics(ctx context.Context, address string) (map[string]*dto.MetricFamily, error) {
	if !strings.Contains(address, "://") {
		address = "http://" + address + "/metrics"
	}
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return nil, newUsageError(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("the process responded with status %d", resp.StatusCode)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	return parser.TextToMetricFamilies(resp.Body)
}

func labelOf(m *dto.Metric, name string) string {
	for _, l := range m.GetLabel() {
		if l.GetName() == name {
			return l.GetValue()
		}
	}
	return ""
}

func printEvacuations(cmd *cobra.Command, output *operatorFlags, found map[string]*evacuatedDataCentre) error {
	list := slices.SortedFunc(maps.Values(found), func(a, b *evacuatedDataCentre) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	rows := make([][]string, 0, len(list))
	for _, e := range list {
		runs := "-"
		if e.Runs != nil {
			runs = strconv.Itoa(*e.Runs)
		}
		since := time.Duration(e.ForSeconds * float64(time.Second)).Truncate(time.Second)
		rows = append(rows, []string{e.DataCentre, since.String(), strconv.Itoa(e.Processes), runs})
	}
	if list == nil {
		list = []*evacuatedDataCentre{}
	}
	return output.printOutput(cmd, list, []string{"DATA CENTRE", "FOR", "PROCESSES", "RUNS"}, rows)
}
