// Package daemon holds the code that the programs share: command lines, logs,
// metrics, credentials, and the handling of signals and settings files.
package daemon
