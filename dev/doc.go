// Package dev runs the whole path in one process: a router, agents and small
// fakes of the platform, the engines and a plain service, on loopback.
package dev
