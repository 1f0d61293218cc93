// Package decay measures event rates with exponential decay.
package decay
