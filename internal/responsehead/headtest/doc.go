// Package headtest has responses with odd heads, for tests of all that read responses.
package headtest
