// Package memory accounts for the accelerator memory of one engine: weights, KV
// cache and adapters, in MiB.
//
// Memory is reserved before the order that uses it is submitted, and released
// only after the engine has confirmed that it is unused. The sum of the memory
// in use and the memory that orders in flight may still use therefore never
// exceeds the capacity.
package memory
