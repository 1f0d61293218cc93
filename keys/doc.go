// Package keys makes the certificate authority and the certificates of an
// environment's processes, and gives TLS configurations that follow renewed
// files without a restart.
//
// All processes trust one authority. A certificate's common name is the id of
// the VM that it was issued to; no host names are involved.
package keys
