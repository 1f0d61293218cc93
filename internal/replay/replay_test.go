package replay

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keepalive"
)

func TestTrial(t *testing.T) {
	if os.Getenv("TRIAL") == "" {
		t.Skip()
	}
	for _, d := range []Deployment{Muotiennuste(), Nordfjell()} {
		type pol struct {
			name string
			p    Policies
		}
		ad := func() keepalive.Policy[keepalive.AdapterKey] { return NewLRU[keepalive.AdapterKey]() }
		pols := []pol{{"lru", Policies{func(share func(ident.Model) float64) keepalive.Policy[ident.Model] { return NewLRU[ident.Model]() }, ad}}}
		for _, m := range []float64{1, 2, 5, 10, 30, 60} {
			pols = append(pols, pol{fmt.Sprint("fixed ", m), Policies{func(share func(ident.Model) float64) keepalive.Policy[ident.Model] {
				return NewFixedTimeout[ident.Model](time.Duration(m * float64(time.Minute)))
			}, ad}})
		}
		for _, tp := range []float64{1, 1.5} {
			for _, m := range []float64{5, 10, 20, 40, 80, 160} {
				pols = append(pols, pol{fmt.Sprint("keeper ", tp, " ", m), Policies{func(share func(ident.Model) float64) keepalive.Policy[ident.Model] {
					k, err := keepalive.New(keepalive.Config[ident.Model]{Exchange: m, TailPower: tp, Daily: true, Share: share})
					if err != nil {
						panic(err)
					}
					return k
				}, ad}})
			}
		}
		lines := make([]string, len(pols))
		var wg sync.WaitGroup
		sem := make(chan bool, 3)
		for i, p := range pols {
			wg.Add(1)
			go func() {
				defer wg.Done()
				sem <- true
				defer func() { <-sem }()
				var sb strings.Builder
				var c0, c50, c99, a99, mean, idle float64
				var loads, ev, ref, pw, ph, st, al int
				tiers := map[string]int{}
				n := 2.0
				for s := range uint64(n) {
					r, err := Run(Options{Deployment: d, Policies: p.p, Seed: s + 1, Days: 17, Learn: 3})
					if err != nil {
						t.Error(err)
						return
					}
					c0 += r.ColdShare() / n
					c50 += r.ColdQuantile(.5).Seconds() / n
					c99 += r.ColdQuantile(.99).Seconds() / n
					a99 += r.Quantile(.99).Seconds() / n
					idle += r.IdleHours / n
					mean += r.Mean().Seconds() / n
					loads += r.Loads
					ev += r.Evictions
					ref += r.Refusals
					pw += r.Prewarms
					st += r.Stages
					ph += r.PrewarmHits
					al += r.AdapterLoads
					for k, v := range r.Tiers {
						tiers[string(k)] += v
					}
				}
				fmt.Fprintf(&sb, "%-14s cold %5.2f%% p50c %5.1f p99c %5.1f p99 %6.2f mean %5.2f idle %7.1f loads %5d evict %5d refuse %d prewarm %d hit %d stage %d adapters %d %v", p.name, c0*100, c50, c99, a99, mean, idle, loads, ev, ref, pw, ph, st, al, tiers)
				lines[i] = sb.String()
			}()
		}
		wg.Wait()
		fmt.Println(d.Name)
		fmt.Println(strings.Join(lines, "\n"))
	}
}
