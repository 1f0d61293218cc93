package allotment

import "time"

// maxWait bounds the time after which a refused caller is told to come back.
const maxWait = 10 * time.Second

// turns is a queue of promised times, for those that are refused together.
type turns struct {
	// next is when the last promised amount will have been used.
	next time.Time
}

// take returns the time until the next turn, which is not before a time, and adds what it
// uses to the queue. Turns that would come later than a limit are spread over the second half
// of it instead, so that they still come one after the other.
func (q *turns) take(now, earliest time.Time, length, limit time.Duration) time.Duration {
	q.atLeast(now)
	q.atLeast(earliest)
	if over := q.next.Sub(now) - limit; over > 0 {
		q.next = now.Add(limit/2 + over%(limit/2))
	}
	wait := q.next.Sub(now)
	q.next = q.next.Add(length)
	return wait
}

// atLeast moves the next turn to a time if it is before it.
func (q *turns) atLeast(t time.Time) {
	if q.next.Before(t) {
		q.next = t
	}
}
