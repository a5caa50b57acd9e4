package commands

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chivetiller/chivetiller/config"
	"github.com/chivetiller/chivetiller/operator"
	"github.com/chivetiller/chivetiller/provider/standin"
)

// TestConfigurationCommands guards against operator commands that fail, exit with the wrong code, print a key a second
// time or hide a fault. It goes from an empty configuration to a revoked key.
func TestConfigurationCommands(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	write := func(name, data string) string {
		path := filepath.Join(dir, name)
		c.Assert(os.WriteFile(path, []byte(data), 0o600), qt.IsNil)
		return path
	}
	store := config.NewStore(standin.NewTable(), config.StoreOptions{})
	source := config.NewSource(store, config.SourceOptions{})
	c.Assert(source.Start(t.Context()), qt.IsNil)
	server, err := operator.NewServer(operator.Options{Listen: "127.0.0.1:0", Store: store, Source: source, BootstrapKey: "first.key"})
	c.Assert(err, qt.IsNil)
	c.Assert(source.WaitReady(t.Context()), qt.IsNil)
	c.Assert(server.Start(t.Context()), qt.IsNil)
	t.Cleanup(func() { _ = server.Stop(context.Background()); _ = source.Stop(context.Background()) })

	keyFile := write("key", "first.key\n")
	run := func(code int, args ...string) (stdout, stderr string) {
		c.Helper()
		var out, errOut bytes.Buffer
		args = append(args, "--operator", "http://"+server.Address(), "--key-file", keyFile)
		c.Assert(Execute(args, &out, &errOut), qt.Equals, code, qt.Commentf("%s %s%s", args, &out, &errOut))
		return out.String(), errOut.String()
	}
	key, _ := run(exitOK, "key", "create", "nadia")
	run(exitFailure, "class", "list") // the bootstrap key is invalid once an operator key exists
	keyFile = write("key", key)

	lab := write("lab.yaml", "kind: Pool\nspec: {name: pricing, maxUnavailable: 20%}\n---\n"+
		"kind: Class\nspec: {name: counter, pool: pricing, target: 300ms, share: 1}\n---\nkind: Team\nspec: {name: desk, share: 1, upperLimit: 4}\n")
	out, _ := run(exitOK, "apply", lab, "--dry-run")
	c.Assert(out, qt.Contains, "+ Class/counter\n    pool: pricing\n")
	c.Assert(out, qt.Contains, "Dry run at version 1")
	out, _ = run(exitOK, "apply", lab)
	c.Assert(out, qt.Contains, "Version 2 is in force everywhere.")
	out, _ = run(exitOK, "apply", lab)
	c.Assert(out, qt.Contains, "Nothing to change at version 2.")

	bad := write("bad.yaml", "kind: Class\nspec:\n  name: dye\n  pool: none\n  target: 1s\n  share: 1\n")
	_, stderr := run(exitUsage, "apply", bad)
	c.Assert(stderr, qt.Contains, bad+":4: class \"dye\" uses pool \"none\"")
	_, stderr = run(exitUsage, "apply", write("odd.yaml", "kind: Pool\nspec:\n  size: 3\n"))
	c.Assert(stderr, qt.Contains, "odd.yaml:3: unknown field \"size\"")
	_, stderr = run(exitUsage, "pool", "delete", "pricing")
	c.Assert(stderr, qt.Contains, "uses pool \"pricing\", which does not exist")
	_, stderr = run(exitFailure, "apply", bad, lab, "--base", "1")
	c.Assert(stderr, qt.Contains, "version 2 by nadia changed")

	teamKey, _ := run(exitOK, "team", "key", "create", "desk")
	id, _, _ := strings.Cut(teamKey, ".")
	for _, args := range [][]string{{"team", "key", "list", "desk"}, {"team", "show", "desk"}, {"config", "export"}} {
		out, _ = run(exitOK, args...)
		c.Assert(out, qt.Contains, id)
		c.Assert(out, qt.Not(qt.Contains), strings.TrimSpace(teamKey))
	}
	backup := write("backup.yaml", out)
	out, _ = run(exitOK, "team", "key", "withdraw", "desk", id)
	c.Assert(out, qt.Contains, "~ Team/desk\n    key "+id)
	run(exitUsage, "apply", backup) // would restore the revoked key
	out, _ = run(exitOK, "config", "import", backup, "--dry-run")
	c.Assert(out, qt.Contains, "key "+id)
	out, _ = run(exitOK, "config", "history", "--output", "json")
	c.Assert(out, qt.Contains, `"author": "nadia"`)
	run(exitOK, "config", "status")
	run(exitUsage, "class", "list", "--output", "yaml")
	run(exitUsage, "apply")
}
