package keepalive_test

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keepalive"
)

// A model requested every 4 minutes stays loaded between requests and is
// unloaded after one that is requested less often.
func ExampleHistoryPolicy_KeepUntil() {
	p, err := keepalive.New(keepalive.Config[ident.Model]{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)
	p.Observe("rare", now)
	for range 60 {
		now = now.Add(4 * time.Minute)
		p.Observe("steady", now)
	}
	fmt.Println("stays:", p.KeepUntil("steady", now).Sub(now) > 4*time.Minute)
	fmt.Println("unloaded first:", p.EvictOrder([]ident.Model{"steady", "rare"}, now)[0])
	// Output:
	// stays: true
	// unloaded first: rare
}
