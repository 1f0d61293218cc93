// Package router serves callers: it checks and admits their requests, chooses
// an upstream, dispatches attempts to agents and passes the answers on. All that
// it decides lies in the packages it drives; this one does the I/O.
package router
