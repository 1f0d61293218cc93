// Package retry decides whether and when an attempt that got no response is
// retried, and whether a slow one is hedged by a second attempt.
//
// Budget limits both to a fraction of the successful requests. Policy decides
// on failed attempts, Hedger on slow ones. None of them reads a clock or is
// safe for concurrent use.
package retry
