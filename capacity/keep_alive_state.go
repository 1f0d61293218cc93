package main

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keepalive"
)

// keepAliveState measures the heap size of the request history of models and
// adapters.
func keepAliveState(t *table) error {
	adapters := series{
		Quantity: "history of adapters, bytes", SizeName: "adapters", Xs: []float64{1000, 2000, 4000, 8000, 16_000},
		TargetSize: targetAdapters, Budget: memoryBudgetBytes,
	}
	if err := t.measure(adapters, adapterHistory); err != nil {
		return err
	}
	models := series{
		Quantity: "history of models with daily profile, bytes", SizeName: "models", Xs: []float64{20, 40, 80, 160},
		TargetSize: targetModels, Budget: memoryBudgetBytes,
	}
	return t.measure(models, modelHistory)
}

func adapterHistory(n int) (float64, error) {
	return retainedHeap(func() (*keepalive.HistoryPolicy[keepalive.AdapterKey], error) {
		return observed(n, false, func(i int) keepalive.AdapterKey {
			return keepalive.AdapterKey{Model: modelName(i % targetModels), Adapter: adapterName(i)}
		})
	})
}

func modelHistory(n int) (float64, error) {
	return retainedHeap(func() (*keepalive.HistoryPolicy[ident.Model], error) {
		return observed(n, true, modelName)
	})
}

// observed returns a policy that has observed hourly requests and loads of n keys
// for a day.
func observed[K comparable](n int, daily bool, key func(int) K) (*keepalive.HistoryPolicy[K], error) {
	const hours = 24
	policy, err := keepalive.New(keepalive.Config[K]{DailyProfile: daily})
	if err != nil {
		return nil, fmt.Errorf("create keep-alive policy: %w", err)
	}
	for h := range hours {
		for i := range n {
			now := time.Unix(0, 0).Add(time.Duration(h) * time.Hour).Add(time.Duration(i) * time.Millisecond)
			policy.Observe(key(i), now)
			policy.ObserveLoad(key(i), time.Second, now)
		}
	}
	return policy, nil
}
