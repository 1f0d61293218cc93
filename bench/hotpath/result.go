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
	// noResponseLatency is recorded for a request without a response in time.
	noResponseLatency = 10 * time.Minute
)

// Result holds the figures of one simulation. Counts cover the measured time
// unless they are per second.
type Result struct {
	Requests, Answered, Late, Refused, Aborted int
	Attempts, CrossRegionAttempts              int
	PrefixHits, PrefixLookups                  int
	// AnsweredByRegion counts the responses in time for each region.
	AnsweredByRegion []float64
	// AnsweredPerSecond counts the responses in time in each second.
	AnsweredPerSecond []int
	// RefusedPerSecond counts refusals, RequestsPerSecond arrivals, and
	// AttemptsPerSecond attempts, in each second.
	RefusedPerSecond, RequestsPerSecond, AttemptsPerSecond []int
	// AnsweredByClientRetries counts the responses in time by the client retries
	// before them.
	AnsweredByClientRetries []int
	// ClientRetries counts the client retries by their number, such as first or
	// second, over the whole simulation.
	ClientRetries []int
	// ClassRequests and ClassAnswered count requests and responses in time by
	// priority.
	ClassRequests, ClassAnswered map[ident.Priority]int
	// PeakWaiting is the greatest queue length of each VM.
	PeakWaiting []int
	// Codes counts refusals by run state and code.
	Codes map[string]int

	s Scenario
	// longest and mean are the sums over all samples of the greatest and the mean load
	// of the VMs.
	longest, mean float64
	latency       map[ident.Priority]*hdr.Histogram
}

func newResult(s Scenario) *Result {
	seconds := int(s.End/time.Second) + 2
	r := &Result{
		s:                       s,
		AnsweredByRegion:        make([]float64, len(s.VMs)),
		AnsweredPerSecond:       make([]int, seconds),
		RefusedPerSecond:        make([]int, seconds),
		RequestsPerSecond:       make([]int, seconds),
		AttemptsPerSecond:       make([]int, seconds),
		AnsweredByClientRetries: make([]int, s.MaxClientRetries+1),
		ClientRetries:           make([]int, s.MaxClientRetries+1),
		ClassRequests:           make(map[ident.Priority]int),
		ClassAnswered:           make(map[ident.Priority]int),
		Codes:                   make(map[string]int),
		latency:                 make(map[ident.Priority]*hdr.Histogram),
	}
	for _, c := range s.Classes {
		r.latency[c.Priority] = hdr.New(minLatency, maxLatency, latencyDigits)
	}
	return r
}

// isMeasured reports whether a request was sent after the warm-up and has its
// deadline by the end.
func (r *Result) isMeasured(q *request) bool {
	return q.sentAt >= r.s.WarmUp && q.deadline <= r.s.End
}

func (r *Result) recordRequest(_ bool, q *request) {
	r.RequestsPerSecond[q.sentAt/time.Second]++
	if r.isMeasured(q) {
		r.Requests++
		r.ClassRequests[q.class.Priority]++
	}
}

func (r *Result) recordAnswered(at time.Duration, q *request) {
	inTime := at <= q.deadline
	if inTime && at < r.s.End {
		r.AnsweredPerSecond[at/time.Second]++
		if at >= r.s.WarmUp {
			r.AnsweredByRegion[q.region]++
		}
	}
	if !r.isMeasured(q) {
		return
	}
	if !inTime {
		r.Late++
		r.recordLatency(q, noResponseLatency)
		return
	}
	r.Answered++
	r.AnsweredByClientRetries[q.clientRetries]++
	r.ClassAnswered[q.class.Priority]++
	r.recordLatency(q, at-q.sentAt)
}

func (r *Result) recordRefused(at time.Duration, q *request, o outcome) {
	if at < r.s.End {
		r.RefusedPerSecond[at/time.Second]++
	}
	if r.isMeasured(q) {
		r.Refused++
		r.Codes[string(o.run)+" "+string(o.code)]++
		r.recordLatency(q, noResponseLatency)
	}
}

func (r *Result) recordLatency(q *request, d time.Duration) {
	must(r.latency[q.class.Priority].RecordValue(d.Microseconds()))
}

func (r *Result) recordAborted(measured bool) {
	if measured {
		r.Aborted++
	}
}

func (r *Result) attempt(at time.Duration, measured, crossRegion bool) {
	r.AttemptsPerSecond[at/time.Second]++
	if measured {
		r.Attempts++
		if crossRegion {
			r.CrossRegionAttempts++
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

func (r *Result) finish(sim *simulation) {
	for _, u := range sim.upstreams {
		r.PeakWaiting = append(r.PeakWaiting, u.peakWaiting)
	}
}

// Goodput returns the rate of responses in time between two times as a share of
// the capacity of the given number of VMs.
func (r *Result) Goodput(from, until time.Duration, vms int) float64 {
	sum := 0
	for i := from / time.Second; i < until/time.Second; i++ {
		sum += r.AnsweredPerSecond[i]
	}
	capacity := float64(vms*r.s.Concurrency) / r.s.RunTime.Seconds()
	return float64(sum) / ((until - from).Seconds() * capacity)
}

// Quantile returns the time within which the share q of the requests of a priority
// got their response. It is noResponseLatency if fewer got one in time.
func (r *Result) Quantile(p ident.Priority, q float64) time.Duration {
	return time.Duration(r.latency[p].ValueAtQuantile(100*q)) * time.Microsecond
}

// sample records the numbers of requests at the VMs at one time.
func (r *Result) sample(loads []int) {
	sum := 0
	for _, l := range loads {
		sum += l
	}
	r.longest += float64(slices.Max(loads))
	r.mean += float64(sum) / float64(len(loads))
}

// QueueImbalance returns the mean load of the most loaded VM over the mean load of
// all VMs. It is high if many routers choose the same VM at once (herding).
func (r *Result) QueueImbalance() float64 { return r.longest / max(1, r.mean) }

// HitRate returns the share of runs whose prefix was cached.
func (r *Result) HitRate() float64 {
	return float64(r.PrefixHits) / float64(max(1, r.PrefixLookups))
}

// SumBetween returns the sum of per-second counts between two times.
func SumBetween(counts []int, from, until time.Duration) int {
	sum := 0
	for _, n := range counts[from/time.Second : until/time.Second] {
		sum += n
	}
	return sum
}

// recoveryWindow is the time over which Recovery averages goodput.
const recoveryWindow = 5 * time.Second

// Recovery returns the time from the start of a fault until goodput, averaged over
// recoveryWindow, reaches a share of the given rate of responses a second and
// stays there on average until the end of the fault. It returns the duration of
// the fault if that never happens.
func (r *Result) Recovery(from, until time.Duration, rate, share float64) time.Duration {
	enough := func(a, b time.Duration) bool {
		return float64(SumBetween(r.AnsweredPerSecond, a, b)) >= share*rate*(b-a).Seconds()
	}
	for t := from; t+recoveryWindow <= until; t += time.Second {
		if enough(t, t+recoveryWindow) && enough(t, until) {
			return t - from
		}
	}
	return until - from
}

// Jain returns Jain's fairness index of the responses in time over regions.
func (r *Result) Jain() float64 {
	var sum, squares float64
	for _, x := range r.AnsweredByRegion {
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(r.AnsweredByRegion)) * squares)
}

// AttemptsPerRequest returns the mean number of attempts per request, which shows
// the load that retries add.
func (r *Result) AttemptsPerRequest() float64 {
	return float64(r.Attempts) / float64(max(1, r.measuredRequests()))
}

func (r *Result) measuredRequests() int {
	sum := 0
	for i := r.s.WarmUp / time.Second; i < r.s.End/time.Second; i++ {
		sum += r.RequestsPerSecond[i]
	}
	return sum
}
