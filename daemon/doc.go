// Package daemon holds what the programs share: logs, metrics,
// credentials and the handling of signals.
package daemon
