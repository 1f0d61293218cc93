// Package endless has a server for tests of clients: it sends bytes that are no answer, without
// end, until the client closes.
package endless
