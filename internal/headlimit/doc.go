// Package headlimit bounds the head of a response as its bytes arrive: what net/http reads of it,
// and what it becomes once it is parsed.
package headlimit
