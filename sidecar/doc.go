// Package sidecar runs beside one model engine: it reads the engine's state,
// gives it orders, hands out places to routers and reports to them.
//
// Package residency decides; Sidecar does the I/O.
package sidecar
