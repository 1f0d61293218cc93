// Package header lists HTTP headers that proxies treat alike.
package header

// HopByHop lists the hop-by-hop headers, which apply to one connection and are not
// forwarded.
var HopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}
