// Package earlyanswer has a server for tests of clients: it answers a request from its head alone,
// while the client still writes the body. Over the loopback interface the kernel takes a body of
// several megabytes at once; connections to this server take little, as over a network, so that the
// write blocks until the server reads.
package earlyanswer
