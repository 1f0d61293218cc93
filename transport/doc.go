// Package transport connects the system's own processes by QUIC with mutual
// TLS. It carries the messages of package wire, one stream for each exchange.
//
// A dialed connection has a UDP socket of its own. When something between two
// ends loses track of a connection, a new one from another port still works, so
// a connection that gives no sign of life is closed and replaced. QUIC's own
// keep-alive asks for one only while nothing else comes.
package transport
