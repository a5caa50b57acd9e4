package standin_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/provider"
	"github.com/chivetiller/chivetiller/provider/standin"
)

// TestTable guards against a scan that leaves out, repeats or misorders rows, and against a
// transaction that takes effect partly. It compares the table with a map.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := standin.NewTable()
		model := make(map[string]string)
		key := rapid.Custom(func(t *rapid.T) string {
			return rapid.SampledFrom([]string{"a/", "a", "b/", ""}).Draw(t, "prefix") + fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "number"))
		})
		for i := range rapid.IntRange(1, 30).Draw(t, "transactions") {
			txn := provider.Txn{Writes: []provider.Write{}}
			holds := true
			for range rapid.IntRange(1, 4).Draw(t, "writes") {
				k := key.Draw(t, "key")
				if rapid.Bool().Draw(t, "absent") {
					_, exists := model[k]
					holds = holds && !exists
					txn.Checks = append(txn.Checks, provider.Check{Key: k})
				}
				txn.Writes = append(txn.Writes, provider.Write{Key: k, Value: fmt.Append(nil, i), Delete: rapid.Bool().Draw(t, "delete")})
			}
			err := table.Commit(t.Context(), txn)
			if (err == nil) != holds {
				t.Fatalf("commit of %+v: %v, checks hold: %v", txn, err, holds)
			}
			for _, w := range txn.Writes {
				if holds && w.Delete {
					delete(model, w.Key)
				} else if holds {
					model[w.Key] = string(w.Value)
				}
			}
		}
		prefix, after := rapid.SampledFrom([]string{"", "a", "a/", "b/", "c"}).Draw(t, "scanned"), key.Draw(t, "after")
		limit := rapid.IntRange(0, 20).Draw(t, "limit")
		want := []string{}
		for k, v := range model {
			if strings.HasPrefix(k, prefix) && k > after {
				want = append(want, k+"\x00"+v)
			}
		}
		slices.Sort(want)
		rows, err := table.Scan(t.Context(), prefix, after, limit)
		if err != nil {
			t.Fatal(err)
		}
		got := []string{}
		for _, r := range rows {
			got = append(got, r.Key+"\x00"+string(r.Value))
		}
		if want = want[:min(limit, len(want))]; !slices.Equal(got, want) {
			t.Fatalf("scan of %q after %q: %v, want %v", prefix, after, got, want)
		}
	})
}
