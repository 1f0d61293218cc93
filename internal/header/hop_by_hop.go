// Package header holds the lists of HTTP headers that all packages that forward
// HTTP messages share.
package header

// HopByHop lists the hop-by-hop headers, which apply to one connection and are not
// forwarded.
var HopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}
