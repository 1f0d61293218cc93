// Package daemon holds what the programs share: logs, metrics, settings files,
// credentials and the handling of signals.
package daemon
