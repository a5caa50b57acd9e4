package commands

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/chivetiller/chivetiller/common/problem"
)

// operatorTimeout is the time limit of one request to the operator API.
const operatorTimeout = 30 * time.Second

// Environment variables that are used for flags that are not given, and the default without either.
const (
	operatorVariable = "CHIVETILLER_OPERATOR"
	keyFileVariable  = "CHIVETILLER_KEY_FILE"
	defaultOperator  = "http://127.0.0.1:8081"
)

// outputTable is the default output format of commands that list.
const outputTable = "table"

// operatorFlags are the flags of commands that are clients of the operator API.
type operatorFlags struct {
	operator string
	keyFile  string
	output   string
}

// addTo defines the flags on a command and its subcommands.
func (f *operatorFlags) addTo(cmd *cobra.Command) {
	flags := cmd.PersistentFlags()
	flags.StringVar(&f.operator, "operator", "", "URL of the operator API of any entry instance (default $"+operatorVariable+" or "+defaultOperator+")")
	flags.StringVar(&f.keyFile, "key-file", "", "file with the operator key (default $"+keyFileVariable+")")
	flags.StringVar(&f.output, "output", outputTable, "output format: table or json")
}

// applyEnvironment sets flags that are not given from the environment, or to their default.
func (f *operatorFlags) applyEnvironment() {
	f.operator = cmp.Or(f.operator, os.Getenv(operatorVariable), defaultOperator)
	f.keyFile = cmp.Or(f.keyFile, os.Getenv(keyFileVariable))
}

// checkOutput returns an error if there is no such output format.
func (f *operatorFlags) checkOutput() error {
	if f.output != outputTable && f.output != outputJSON {
		return newUsageError(eris.Errorf("output %q is neither table nor json", f.output))
	}
	return nil
}

// call sends a request to the operator API with in as JSON, and decodes the response into out. Both may be nil.
func (f *operatorFlags) call(cmd *cobra.Command, method, path string, in, out any) error {
	f.applyEnvironment()
	if err := f.checkOutput(); err != nil {
		return err
	}
	base, err := url.Parse(f.operator)
	if err != nil || base.Host == "" {
		return newUsageError(eris.Errorf("operator %q is not a URL", f.operator))
	}
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(cmd.Context(), method, strings.TrimSuffix(f.operator, "/")+path, body)
	if err != nil {
		return newUsageError(err)
	}
	req.Header.Set("Content-Type", "application/json")
	if f.keyFile != "" {
		key, err := os.ReadFile(f.keyFile)
		if err != nil {
			return newUsageError(err)
		}
		req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(key)))
	}
	resp, err := (&http.Client{Timeout: operatorTimeout}).Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return responseError(resp.StatusCode, data)
	}
	if out == nil || len(data) == 0 {
		return nil
	}
	return json.Unmarshal(data, out)
}

// responseError returns the error of a response, with the detail of its problem document if there is one. It is a usage
// error (exit code 2) if the operator API rejected the document or the arguments.
func responseError(status int, data []byte) error {
	var document problem.Document
	err := fmt.Errorf("operator API responded with status %d", status)
	if json.Unmarshal(data, &document) == nil && document.Detail != "" {
		err = fmt.Errorf("%s: %s", document.Title, document.Detail)
	}
	if status == http.StatusBadRequest || status == http.StatusUnprocessableEntity {
		return newUsageError(err)
	}
	return err
}

// printOutput prints value as JSON or the rows as a table, as the output flag says.
func (f *operatorFlags) printOutput(cmd *cobra.Command, value any, header []string, rows [][]string) error {
	if f.output == outputJSON {
		encoder := json.NewEncoder(cmd.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// readDocument decodes a YAML file and rejects unknown fields.
func readDocument(path string, to any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return newUsageError(err)
	}
	if err := yaml.UnmarshalWithOptions(data, to, yaml.Strict()); err != nil {
		return newUsageError(eris.Wrapf(err, "%s", path))
	}
	return nil
}

// formatTime formats a time for a table; "-" if it is zero.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Format(time.RFC3339)
}
