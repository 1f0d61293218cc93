// Package dev runs a complete environment in one process on loopback: a router,
// agents, and stand-ins for the platform, the engines and a plain service.
package dev
