package admission_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/laureltally/laureltally/admission"
)

// A Limiter has no clock: the caller passes the time.
func ExampleLimiter_Allow() {
	l, err := admission.NewLimiter(admission.LimiterOptions{}, rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		fmt.Println(err)
		return
	}
	key := admission.LimitKey{Environment: "dev", Caller: "developer"}
	limit := admission.Rate{PerSecond: 1, Burst: 2}
	now := time.Date(2026, 12, 3, 10, 0, 0, 0, time.UTC)
	for range 3 {
		after, ok := l.Allow(now, key, limit)
		fmt.Println(ok, after >= time.Second)
	}
	_, ok := l.Allow(now.Add(time.Second), key, limit)
	fmt.Println(ok)
	// Output:
	// true false
	// true false
	// false true
	// true
}
