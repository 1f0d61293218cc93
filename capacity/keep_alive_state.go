package main

import (
	"fmt"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keepalive"
)

// keepAliveState measures what the history of models and adapters takes.
func keepAliveState(t *table) error {
	adapters := series{
		What: "history of adapters, bytes", By: "adapters", Xs: []float64{1000, 2000, 4000, 8000, 16_000},
		At: targetAdapters, Budget: memoryBytes,
	}
	if err := t.measure(adapters, adapterHistory); err != nil {
		return err
	}
	models := series{
		What: "history of models with daily profile, bytes", By: "models", Xs: []float64{20, 40, 80, 160},
		At: targetModels, Budget: memoryBytes,
	}
	return t.measure(models, modelHistory)
}

func adapterHistory(n int) (float64, error) {
	return held(func() (*keepalive.HistoryPolicy[keepalive.AdapterKey], error) {
		return observed(n, false, func(i int) keepalive.AdapterKey {
			return keepalive.AdapterKey{Model: modelName(i % targetModels), Adapter: adapterName(i)}
		})
	})
}

func modelHistory(n int) (float64, error) {
	return held(func() (*keepalive.HistoryPolicy[ident.Model], error) {
		return observed(n, true, modelName)
	})
}

// observed returns a keeper that has seen a day of hourly requests for n keys.
func observed[K comparable](n int, daily bool, key func(int) K) (*keepalive.HistoryPolicy[K], error) {
	const hours = 24
	k, err := keepalive.New(keepalive.Config[K]{DailyProfile: daily})
	if err != nil {
		return nil, fmt.Errorf("keep-alive: %w", err)
	}
	for h := range hours {
		for i := range n {
			now := time.Unix(0, 0).Add(time.Duration(h) * time.Hour).Add(time.Duration(i) * time.Millisecond)
			k.Observe(key(i), now)
			k.ObserveLoad(key(i), time.Second, now)
		}
	}
	return k, nil
}
