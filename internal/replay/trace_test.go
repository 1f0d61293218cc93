package replay

import (
	"fmt"
	"os"
	"sort"
	"testing"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/keepalive"
)

func TestTrace(t *testing.T) {
	if os.Getenv("TRIAL") == "" {
		t.Skip()
	}
	ad := func() keepalive.Policy[keepalive.AdapterKey] { return NewLRU[keepalive.AdapterKey]() }
	for _, d := range []Deployment{Muotiennuste(), Nordfjell()} {
		type acc struct {
			n, events int
			gaps      []float64
		}
		g := map[string]*acc{}
		lastEv := map[int]time.Time{}
		r, _ := Run(Options{Deployment: d, Policies: Policies{func(share func(ident.Model) float64) keepalive.Policy[ident.Model] {
			return NewFixedTimeout[ident.Model](10 * time.Minute)
		}, ad}, Seed: 1, Days: 17, Learn: 3, Trace: func(c ColdRequest) {
			k := c.Group + " <4s"
			if c.Took > 4*time.Second {
				k = c.Group + " 4-8s"
			}
			if c.Took > 8*time.Second {
				k = c.Group + " 8-14s"
			}
			if c.Took > 14*time.Second {
				k = c.Group + " >14s"
			}
			a := g[k]
			if a == nil {
				a = &acc{}
				g[k] = a
			}
			a.n++
			if c.At.Sub(lastEv[c.Model]) > time.Minute {
				a.events++
				a.gaps = append(a.gaps, c.Idle.Hours())
				lastEv[c.Model] = c.At
			}
		}})
		fmt.Println(d.Name, "requests", len(r.Cold))
		for k, a := range g {
			sort.Float64s(a.gaps)
			q := func(p float64) float64 {
				if len(a.gaps) == 0 {
					return 0
				}
				return a.gaps[int(p*float64(len(a.gaps)-1))]
			}
			fmt.Printf("  %-20s requests %5d starts %4d gap hours %.2f %.2f %.2f %.2f %.2f\n", k, a.n, a.events, q(.1), q(.25), q(.5), q(.75), q(.9))
		}
	}
}
