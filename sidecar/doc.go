// Package sidecar runs beside one model engine: it polls the engine's state, sends
// it orders, grants reservations to routers and reports to them.
//
// Package residency makes the decisions; Sidecar does the I/O.
package sidecar
