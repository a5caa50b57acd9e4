package endpoint_test

import (
	"fmt"
	"time"

	"github.com/chivetiller/chivetiller/endpoint"
)

func ExampleSet() {
	now := time.Date(2026, 1, 2, 6, 0, 0, 0, time.UTC)
	s := endpoint.NewSet(endpoint.Options{DataCentre: "north"})
	s.Update(now, []endpoint.Endpoint{
		{ID: "n1", DataCentre: "north", Incarnation: 1, Quota: 1},
		{ID: "s1", DataCentre: "south", Incarnation: 1, Quota: 1},
	})
	for range 3 {
		e, ok := s.Acquire(now)
		fmt.Println(e.ID, ok)
	}
	s.Release(now, "n1", endpoint.OutcomeOK)
	e, _ := s.Acquire(now)
	fmt.Println(e.ID)
	// Output:
	// n1 true
	// s1 true
	//  false
	// n1
}

func ExampleSplitQuota() {
	members := []endpoint.Member{{ID: "a", DataCentre: "north"}, {ID: "b", DataCentre: "south"}, {ID: "c", DataCentre: "west"}}
	fmt.Println(endpoint.SplitQuota(endpoint.SlotsPerEndpoint, "n1", "north", members))
	// Output: [6 1 1]
}

func ExampleQuotas() {
	now := time.Date(2026, 1, 2, 6, 0, 0, 0, time.UTC)
	a, b := endpoint.Member{ID: "a", DataCentre: "north"}, endpoint.Member{ID: "b", DataCentre: "north"}
	q := endpoint.NewQuotas("a", 2*time.Second)
	q.Update(now, []endpoint.Member{a, b})
	quota := func(after time.Duration) int {
		return q.Quota(now.Add(after), endpoint.SlotsPerEndpoint, "n1", "north")
	}
	fmt.Println("joining:", quota(0))
	fmt.Println("stable:", quota(2*time.Second))
	q.Update(now.Add(3*time.Second), []endpoint.Member{a})
	fmt.Println("b left:", quota(3*time.Second))
	fmt.Println("stable:", quota(5*time.Second))
	// Output:
	// joining: 0
	// stable: 4
	// b left: 4
	// stable: 8
}
