package commands

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/internal/jobs/whereabouts"
)

// maxAnswerBody is the maximum size of an answer in bytes.
const maxAnswerBody = 1 << 20

func newJobWhereCommand(flags *operatorFlags) *cobra.Command {
	var (
		q        whereabouts.Question
		address  string
		cores    float64
		estimate time.Duration
	)
	cmd := &cobra.Command{
		Use:   "where",
		Short: "Show where a job would go now, and why",
		Long: `Show what would happen now to a job of one step: whether it is admitted, how many jobs are served first, the worker for its first task, and what
rules out the others. The job is not sent, and nothing is changed. Any process can be asked; it passes the question to the leader.`,
		Example: "  chivetiller job where --metrics 10.0.0.1:9100 --queue reports --team planning --cores 4 --memory 8192 --count 8 --estimate 2s",
		Args:    usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := flags.checkOutput(); err != nil {
				return err
			}
			q.CPU, q.EstimateSeconds = int64(cores*1000), estimate.Seconds()
			answer, err := askWhere(cmd, address, &q)
			if err != nil {
				return err
			}
			return flags.printOutput(cmd, answer, []string{"WHAT", "NOW"}, answer.Rows())
		},
	}
	set := cmd.Flags()
	set.StringVar(&address, "metrics", "", "metrics address of any process")
	set.StringVar(&q.Queue, "queue", "", "queue of the job")
	set.StringVar(&q.Team, "team", "", "team of the job")
	set.Float64Var(&cores, "cores", 1, "number of processors of a task")
	set.Int64Var(&q.Memory, "memory", 1024, "memory of a task in megabytes")
	set.Int64Var(&q.GPU, "accelerators", 0, "number of accelerators of a task")
	set.IntVar(&q.Count, "count", 1, "number of tasks")
	set.DurationVar(&estimate, "estimate", time.Second, "estimated run time of a task")
	set.StringVar(&q.Rack, "rack", "", "rack that holds the data")
	set.StringVar(&q.Label, "label", "", "label that the workers must have")
	set.IntVar(&q.MaxPerWorker, "max-per-worker", 0, "maximum number of tasks on a worker; 0 means no limit")
	set.BoolVar(&q.Service, "service", false, "the tasks run until the job is cancelled")
	set.BoolVar(&q.Gang, "gang", false, "the tasks run at the same time or not at all")
	set.BoolVar(&q.Speculative, "speculative", false, "copies of a task may run at the same time")
	_ = cmd.MarkFlagRequired("metrics")
	_ = cmd.MarkFlagRequired("queue")
	return cmd
}

// askWhere asks the process at a metrics address.
func askWhere(cmd *cobra.Command, address string, q *whereabouts.Question) (*whereabouts.Answer, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, err
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	req, err := http.NewRequestWithContext(cmd.Context(), http.MethodPost, strings.TrimSuffix(address, "/")+whereabouts.Path, bytes.NewReader(body))
	if err != nil {
		return nil, newUsageError(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: metricsTimeout}).Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBody))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, whereError(resp.StatusCode, data)
	}
	var answer whereabouts.Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, eris.Wrap(err, "decode the answer")
	}
	return &answer, nil
}

// whereError returns the error of a question that was not answered.
func whereError(status int, data []byte) error {
	var failure whereabouts.Failure
	if json.Unmarshal(data, &failure) != nil || failure.Error == "" {
		return eris.Errorf("the process responded with status %d", status)
	}
	if status == http.StatusBadRequest {
		return newUsageError(eris.New(failure.Error))
	}
	return eris.Errorf("the leader has not answered: %s (last known leader: %s)", failure.Error, cmp.Or(failure.LastLeader, "none"))
}
