// Package httpclient has what the HTTP clients of the control plane share: a transport that bounds
// the heads of responses and refuses malformed ones, and a reader that bounds their bodies. A server
// in trouble sends bytes that are no response until its client closes.
package httpclient
