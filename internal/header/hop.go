// Package header has what those who pass HTTP headers on have in common.
package header

// HopByHop lists the headers that belong to one connection and are not passed on.
var HopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}
