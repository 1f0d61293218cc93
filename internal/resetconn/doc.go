// Package resetconn tells the end of a TCP connection from a reset while another goroutine writes
// to it.
//
// A reset leaves one error on the socket. The system call that meets it first takes it, and a later
// read returns zero bytes, as at the end that a peer has sent. So a body that only the end of its
// connection marks looks whole if the write of the request met the error.
package resetconn
