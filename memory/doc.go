// Package memory accounts for the accelerator memory of one engine: weights,
// KV cache and adapters, in MiB.
//
// Memory is reserved before the order that uses it is submitted and freed only
// after the engine has confirmed that it is unused, so that the sum of what the
// engine holds and what it may still come to hold never exceeds the capacity.
package memory
