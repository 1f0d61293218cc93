package hotpath

import (
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"

	"github.com/laureltally/laureltally/ident"
)

// Bounds of the latency histograms, in microseconds, and their digits.
const (
	minLatency    = 1
	maxLatency    = 600_000_000
	latencyDigits = 3
	// never stands for the latency of a request without an answer.
	never = 10 * time.Minute
)

// Result is what a replay measured.
type Result struct {
	Asked, Answered, Late, Refused, Cut int
	Attempts, Crossings                 int
	PrefixHits, PrefixLookups           int
	// Regions counts the answers in time for each region.
	Regions []float64
	// PerSecond counts the answers in time in each second.
	PerSecond []int
	// RefusedPerSecond counts refusals, AskedPerSecond arrivals.
	RefusedPerSecond, AskedPerSecond, AttemptsPerSecond []int
	// Served counts the answers by how often the client came back before.
	Served []int
	// CameBack counts the clients that came back, by how often.
	CameBack []int
	// ClassAsked and ClassAnswered count by priority.
	ClassAsked, ClassAnswered map[ident.Priority]int
	// PeakWaiting is the longest queue of each VM.
	PeakWaiting []int
	// Codes counts refusals.
	Codes map[string]int

	s Scenario
	// loads holds the sums over samples of the longest and the mean load.
	longest, mean float64
	latency       map[ident.Priority]*hdr.Histogram
}

func newResult(s Scenario) *Result {
	seconds := int(s.End/time.Second) + 2
	r := &Result{
		s:                 s,
		Regions:           make([]float64, len(s.VMs)),
		PerSecond:         make([]int, seconds),
		RefusedPerSecond:  make([]int, seconds),
		AskedPerSecond:    make([]int, seconds),
		AttemptsPerSecond: make([]int, seconds),
		Served:            make([]int, s.Comebacks+1),
		CameBack:          make([]int, s.Comebacks+1),
		ClassAsked:        make(map[ident.Priority]int),
		ClassAnswered:     make(map[ident.Priority]int),
		Codes:             make(map[string]int),
		latency:           make(map[ident.Priority]*hdr.Histogram),
	}
	for _, c := range s.Classes {
		r.latency[c.Priority] = hdr.New(minLatency, maxLatency, latencyDigits)
	}
	return r
}

// counts tells whether a request was asked in the measured time and early enough
// to be answered before the end.
func (r *Result) counts(q *request) bool {
	return q.asked >= r.s.Warm && q.deadline <= r.s.End
}

func (r *Result) askedFor(_ bool, q *request) {
	r.AskedPerSecond[q.asked/time.Second]++
	if r.counts(q) {
		r.Asked++
		r.ClassAsked[q.class.Priority]++
	}
}

func (r *Result) answered(at time.Duration, q *request) {
	inTime := at <= q.deadline
	if inTime && at < r.s.End {
		r.PerSecond[at/time.Second]++
		if at >= r.s.Warm {
			r.Regions[q.region]++
		}
	}
	if !r.counts(q) {
		return
	}
	if !inTime {
		r.Late++
		r.record(q, never)
		return
	}
	r.Answered++
	r.Served[q.comebacks]++
	r.ClassAnswered[q.class.Priority]++
	r.record(q, at-q.asked)
}

func (r *Result) refused(at time.Duration, q *request, o outcome) {
	if at < r.s.End {
		r.RefusedPerSecond[at/time.Second]++
	}
	if r.counts(q) {
		r.Refused++
		r.Codes[string(o.run)+" "+string(o.code)]++
		r.record(q, never)
	}
}

func (r *Result) record(q *request, d time.Duration) {
	must(r.latency[q.class.Priority].RecordValue(d.Microseconds()))
}

func (r *Result) cut(measured bool) {
	if measured {
		r.Cut++
	}
}

func (r *Result) attempt(at time.Duration, measured, crosses bool) {
	r.AttemptsPerSecond[at/time.Second]++
	if measured {
		r.Attempts++
		if crosses {
			r.Crossings++
		}
	}
}

func (r *Result) prefix(measured, hit bool) {
	if measured {
		r.PrefixLookups++
		if hit {
			r.PrefixHits++
		}
	}
}

func (r *Result) close(w *world) {
	for _, u := range w.upstreams {
		r.PeakWaiting = append(r.PeakWaiting, u.peak)
	}
}

// Goodput is the answers in time a second as a share of capacity, which is that
// of the given number of VMs, between two times.
func (r *Result) Goodput(from, until time.Duration, vms int) float64 {
	sum := 0
	for i := from / time.Second; i < until/time.Second; i++ {
		sum += r.PerSecond[i]
	}
	capacity := float64(vms*r.s.Places) / r.s.Service.Seconds()
	return float64(sum) / ((until - from).Seconds() * capacity)
}

// Quantile is the time within which a share of the requests of a priority that
// were asked got their answer; more than the deadline if too few did.
func (r *Result) Quantile(p ident.Priority, q float64) time.Duration {
	return time.Duration(r.latency[p].ValueAtQuantile(100*q)) * time.Microsecond
}

// sample takes the requests at each VM.
func (r *Result) sample(loads []int) {
	sum := 0
	for _, l := range loads {
		sum += l
	}
	r.longest += float64(slices.Max(loads))
	r.mean += float64(sum) / float64(len(loads))
}

// Herd is the mean of the longest queue over the mean queue.
func (r *Result) Herd() float64 { return r.longest / max(1, r.mean) }

// HitRate is the share of requests that found their prefix cached.
func (r *Result) HitRate() float64 {
	return float64(r.PrefixHits) / float64(max(1, r.PrefixLookups))
}

// Between sums counts of seconds between two times.
func Between(counts []int, from, until time.Duration) int {
	sum := 0
	for _, n := range counts[from/time.Second : until/time.Second] {
		sum += n
	}
	return sum
}

// recoverySpan is the time over which goodput is averaged to call it back.
const recoverySpan = 5 * time.Second

// Recovery is the time from a fault until goodput, averaged over recoverySpan, is
// back at a share of the allowed answers a second and stays there on average
// until the end of the fault. It is the length of the fault if that never
// happens.
func (r *Result) Recovery(from, until time.Duration, allowed, share float64) time.Duration {
	enough := func(a, b time.Duration) bool {
		return float64(Between(r.PerSecond, a, b)) >= share*allowed*(b-a).Seconds()
	}
	for t := from; t+recoverySpan <= until; t += time.Second {
		if enough(t, t+recoverySpan) && enough(t, until) {
			return t - from
		}
	}
	return until - from
}

// Jain is the fairness index of the answers in time over regions.
func (r *Result) Jain() float64 {
	var sum, squares float64
	for _, x := range r.Regions {
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(r.Regions)) * squares)
}

// AttemptsPerRequest is the load that retries make.
func (r *Result) AttemptsPerRequest() float64 {
	return float64(r.Attempts) / float64(max(1, r.asksMeasured()))
}

func (r *Result) asksMeasured() int {
	sum := 0
	for i := r.s.Warm / time.Second; i < r.s.End/time.Second; i++ {
		sum += r.AskedPerSecond[i]
	}
	return sum
}
