// Package serving describes the configuration of a hosted installation: routes, the
// services behind them, the models of their engines, and limits on callers. It is
// independent of the platform's format and terms.
//
// Table finds the route of a request. CurrentConfig holds the newest configuration
// and never reverts to an older one within the life of a process.
package serving
