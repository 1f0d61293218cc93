// Package headtest has responses with odd heads, and a server of them, for tests of all that read
// responses.
package headtest
