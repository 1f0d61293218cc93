// Package keys creates the certificate authority and the certificates of an
// environment's processes, and provides TLS configurations that use renewed
// certificate files without a restart.
//
// All processes trust one authority. A certificate's common name is the id of
// the VM that it was issued to; host names are not used.
package keys
