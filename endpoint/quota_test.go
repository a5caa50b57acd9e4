package endpoint_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/chivetiller/chivetiller/endpoint"
)

func members(n int) []endpoint.Member {
	all := make([]endpoint.Member, n)
	for i := range all {
		all[i] = endpoint.Member{ID: fmt.Sprint("entry", i), DataCentre: fmt.Sprintf("dc%d", i%3)}
	}
	return all
}

// TestSplitQuota guards against splits whose sum is not the limit, that depend on the order of members, that
// give a remote member more than a local one, or that raise the quota of a member when another one joins.
func TestSplitQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(rapid.IntRange(1, 25).Draw(t, "members"))
		for i := range all {
			all[i].DataCentre = rapid.SampledFrom([]string{"dc0", "dc1"}).Draw(t, "dataCentre")
		}
		limit := rapid.SampledFrom([]int{endpoint.SlotsPerEndpoint, endpoint.ConnectionsPerEndpoint}).Draw(t, "limit")
		parts := endpoint.SplitQuota(limit, "worker", "dc0", all)
		sum, leastLocal, mostRemote := 0, limit, 0
		for i, p := range parts {
			sum += p
			if all[i].DataCentre == "dc0" {
				leastLocal = min(leastLocal, p)
			} else {
				mostRemote = max(mostRemote, p)
			}
		}
		if sum != limit || leastLocal < mostRemote {
			t.Fatalf("split %v", parts)
		}
		reversed := slices.Clone(all)
		slices.Reverse(reversed)
		again := endpoint.SplitQuota(limit, "worker", "dc0", reversed)
		slices.Reverse(again)
		fewer := endpoint.SplitQuota(limit, "worker", "dc0", all[:len(all)-1])
		if !slices.Equal(parts, again) {
			t.Fatalf("split %v, in other order %v", parts, again)
		}
		for i := range fewer {
			if fewer[i] < parts[i] {
				t.Fatalf("split %v, with a further member %v", fewer, parts)
			}
		}
	})
}

// TestQuotasUnderChurn guards against quotas whose sum exceeds the limit while entry instances join, leave and
// return, and each learns of a change with a different delay of up to the stable time. It also guards against
// slots that stay unused after the last change.
func TestQuotasUnderChurn(t *testing.T) {
	const stable, step, steps = 2 * time.Second, 20 * time.Millisecond, 3000
	all := members(8)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		var alive [steps][8]bool
		for n := range alive {
			if n > 0 {
				alive[n] = alive[n-1]
			}
			if n == 0 || n%1000 < 700 && random.IntN(40) == 0 {
				i := random.IntN(len(all))
				alive[n][i] = !alive[n][i]
			}
		}
		var quotas [8]*endpoint.Quotas
		var delays [8][8]int
		for n := range alive {
			now, sum := start.Add(time.Duration(n)*step), 0
			for i := range all {
				if !alive[n][i] {
					quotas[i] = nil
					continue
				}
				if quotas[i] == nil {
					quotas[i] = endpoint.NewQuotas(all[i].ID, stable)
					for j := range all {
						delays[i][j] = random.IntN(int(stable / step))
					}
				}
				var seen []endpoint.Member
				for j, m := range all {
					if j == i || alive[max(n-delays[i][j], 0)][j] {
						seen = append(seen, m)
					}
				}
				quotas[i].Update(now, seen)
				sum += quotas[i].Quota(now, endpoint.SlotsPerEndpoint, "worker", "dc0")
			}
			qt.Assert(t, sum <= endpoint.SlotsPerEndpoint, qt.IsTrue, qt.Commentf("seed %d, step %d, sum %d", seed, n, sum))
			// In the last 100 steps of each 1000, the last change is longer ago than the delay and the stable
			// time together.
			if n%1000 >= 900 && slices.Contains(alive[n][:], true) {
				qt.Assert(t, sum, qt.Equals, endpoint.SlotsPerEndpoint, qt.Commentf("seed %d, step %d", seed, n))
			}
		}
	}
}
