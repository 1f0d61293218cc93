package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// faultKind says what goes wrong.
type faultKind string

// The kinds.
const (
	storeDown       faultKind = "store down"
	storeSilent     faultKind = "store silent"
	storeLoses      faultKind = "store loses answers"
	storeReset      faultKind = "store connections reset"
	storeSlow       faultKind = "store slow"
	upstreamReset   faultKind = "upstream connections reset"
	upstreamSlow    faultKind = "upstream connections slow"
	upstreamMute    faultKind = "upstream's answers held"
	upstreamDeaf    faultKind = "requests to upstream held"
	upstreamFails   faultKind = "upstream fails"
	upstreamDrops   faultKind = "upstream loses answers"
	upstreamFull    faultKind = "upstream declines"
	upstreamCuts    faultKind = "upstream cuts answers"
	upstreamRestart faultKind = "upstream starts anew"
	upstreamDrain   faultKind = "upstream drains"
	ordersLate      faultKind = "orders lost and late"
	routerTerm      faultKind = "router terminated"
	routerKill      faultKind = "router killed"
	routerPause     faultKind = "router paused"
	routerHangup    faultKind = "router reloads"
	sidecarTerm     faultKind = "sidecar terminated"
	sidecarKill     faultKind = "sidecar killed"
	sidecarPause    faultKind = "sidecar paused"
	configStorm     faultKind = "configurations in series"
	linkSilent      faultKind = "connections to sidecar silent for good"
	linkDeaf        faultKind = "connections to sidecar cut one way"
)

var faultKinds = []faultKind{
	storeDown, storeSilent, storeLoses, storeReset, storeSlow,
	upstreamReset, upstreamSlow, upstreamMute, upstreamDeaf, upstreamFails, upstreamDrops, upstreamFull, upstreamCuts, upstreamRestart, upstreamDrain,
	ordersLate, routerTerm, routerKill, routerPause, routerHangup, sidecarTerm, sidecarKill, sidecarPause, configStorm,
	linkSilent, linkDeaf,
}

// fault is one thing that goes wrong.
type fault struct {
	at, lasts time.Duration
	kind      faultKind
	// target counts within the kind's targets, modulo their number.
	target int
}

const (
	// meanGap is the mean time between the begins of faults; they last about as
	// long, so that two or three overlap.
	meanGap = 700 * time.Millisecond
	// longestFault bounds how long a fault lasts.
	longestFault = 3 * time.Second
	// again is the share of faults that repeat the one before: troubles come in
	// series.
	again = 0.3
)

// plan draws the faults of a seed from some kinds.
func plan(seed uint64, played time.Duration, kinds []faultKind) []fault {
	r := rand.New(rand.NewPCG(seed, 1))
	var all []fault
	kind, target := kinds[r.IntN(len(kinds))], r.IntN(60)
	for at := time.Duration(0); at < played; at += time.Duration(r.ExpFloat64() * float64(meanGap)) {
		if r.Float64() >= again {
			kind, target = kinds[r.IntN(len(kinds))], r.IntN(60)
		}
		all = append(all, fault{
			at: at, kind: kind, target: target,
			lasts: 100*time.Millisecond + time.Duration(r.Float64()*r.Float64()*float64(longestFault)),
		})
	}
	slices.SortStableFunc(all, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return all
}
