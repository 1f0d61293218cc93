// Package decisionlog writes the decision log without blocking decisions: lines are
// queued in bounded memory at a bounded rate; lines that exceed the bounds are
// dropped, counted and reported.
package decisionlog
