package retry_test

import (
	"fmt"
	"time"

	"github.com/chivetiller/chivetiller/retry"
)

func ExampleBudget() {
	now := time.Date(2026, 1, 2, 6, 0, 0, 0, time.UTC)
	b := retry.NewBudget(retry.Options{Ratio: 0.1, Burst: 2})
	allowed := 0
	for range 100 {
		b.RecordFirstAttempt(now)
		if b.Allow(now) {
			allowed++
		}
	}
	fmt.Println(allowed, "of 100 retries are allowed")
	// Output: 11 of 100 retries are allowed
}

func ExamplePolicy_Retry() {
	now := time.Date(2026, 1, 2, 6, 0, 0, 0, time.UTC)
	b, p := retry.NewBudget(retry.Options{}), retry.NewPolicy()
	deadline := now.Add(time.Second)
	_, ok := p.Retry(now, retry.Request{Idempotent: true, Deadline: deadline}, b)
	fmt.Println("idempotent:", ok)
	_, ok = p.Retry(now, retry.Request{Deadline: deadline}, b)
	fmt.Println("not idempotent, may have run:", ok)
	_, ok = p.Retry(now, retry.Request{NotRun: true, Deadline: deadline}, b)
	fmt.Println("not idempotent, has not run:", ok)
	// Output:
	// idempotent: true
	// not idempotent, may have run: false
	// not idempotent, has not run: true
}
