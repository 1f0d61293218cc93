// Package decisionlog writes the log of decisions without ever making a decision
// wait: lines are queued in bounded memory, at a bounded rate, and those that
// do not fit are counted and reported.
package decisionlog
