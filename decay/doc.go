// Package decay counts events such that older ones count less.
package decay
