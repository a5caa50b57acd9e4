package queue_test

import (
	"fmt"
	"time"

	"github.com/chivetiller/chivetiller/class"
	"github.com/chivetiller/chivetiller/queue"
)

func ExampleScheduler() {
	quote, err := class.New(class.Spec{Name: "counterQuote", Pool: "counterPricing", Target: "300ms", Share: 1})
	if err != nil {
		panic(err)
	}
	now := time.Date(2026, 1, 2, 6, 0, 0, 0, time.UTC)
	s := queue.NewScheduler(queue.Options{})
	s.Configure([]class.Class{quote}, nil)
	s.SetCapacity(now, 1)

	offer := func(id string, timeout time.Duration) {
		r := queue.Request{ID: id, Class: "counterQuote", Arrival: now, Deadline: now.Add(timeout)}
		if err := s.Offer(now, r); err != nil {
			fmt.Println(id, "is rejected:", err)
		}
	}
	offer("a", 300*time.Millisecond)
	offer("b", 300*time.Millisecond)
	offer("c", time.Millisecond)

	a, _ := s.Next(now, nil)
	fmt.Println(a.ID, "runs")
	_, ok := s.Next(now, nil)
	fmt.Println("another one runs:", ok)
	s.Finished(now.Add(10*time.Millisecond), a, 10*time.Millisecond)
	fmt.Println(len(s.Expire(now.Add(time.Second))), "expired")
	// Output:
	// c is rejected: cannot finish before its deadline; retry after 50ms
	// a runs
	// another one runs: false
	// 1 expired
}
