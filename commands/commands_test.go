package commands

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/spf13/cobra"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"chivetiller": func() { os.Exit(Execute(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts guards against unintended changes of output, error messages and exit codes.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata"})
}

// TestReference guards against reference pages in docs that do not match the commands.
func TestReference(t *testing.T) {
	dir := t.TempDir()
	qt.Assert(t, writeReferencePages(newRootCommand(), dir), qt.IsNil)
	const committed = "../docs/reference"
	for _, pair := range [][2]string{{dir, committed}, {committed, dir}} {
		entries, err := os.ReadDir(pair[0])
		qt.Assert(t, err, qt.IsNil)
		for _, entry := range entries {
			want, err := os.ReadFile(filepath.Join(pair[0], entry.Name()))
			qt.Assert(t, err, qt.IsNil)
			got, err := os.ReadFile(filepath.Join(pair[1], entry.Name()))
			qt.Assert(t, err, qt.IsNil, qt.Commentf("run: go run . reference docs/reference"))
			qt.Assert(t, bytes.Equal(got, want), qt.IsTrue, qt.Commentf("%s differs; run: go run . reference docs/reference", entry.Name()))
		}
	}
}

// TestHelp guards against a command without a summary or an example.
func TestHelp(t *testing.T) {
	var visit func(cmd *cobra.Command)
	visit = func(cmd *cobra.Command) {
		qt.Check(t, cmd.Short, qt.Not(qt.Equals), "", qt.Commentf("%s", cmd.CommandPath()))
		if cmd.Runnable() {
			qt.Check(t, cmd.Example, qt.Not(qt.Equals), "", qt.Commentf("%s", cmd.CommandPath()))
		}
		for _, sub := range cmd.Commands() {
			visit(sub)
		}
	}
	visit(newRootCommand())
}
