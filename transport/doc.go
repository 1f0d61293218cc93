// Package transport connects laureltally's processes by QUIC with mutual TLS. It
// carries the messages of package wire, one stream for each exchange.
//
// Each dialed connection has its own UDP socket. If a middlebox loses the state of a
// connection, a new connection from another port still works. Therefore a connection
// on which nothing is received within the timeout is closed and replaced. QUIC's
// keep-alive sends probes only while no other packets arrive.
package transport
