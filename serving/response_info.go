package serving

// ResponseInfo is the content of the header of an upstream's response.
type ResponseInfo struct {
	// RequestID is the id of the request that the response belongs to.
	RequestID string
	// Sealed is set when the response carries the upstream's seal, which attests the
	// body.
	Sealed bool
	// NotExecuted is set when the upstream states that it has not run the request and
	// will not run it.
	NotExecuted bool
	// WrongVM is set when the address belongs to a different VM than the one
	// addressed, or when the VM has not loaded the requested model.
	WrongVM bool
	// ContentEncoded is set when the body has a content encoding, and so is not as
	// the upstream produced it.
	ContentEncoded bool
	// Load is the load that the upstream reports, if HasLoad is set.
	Load    Load
	HasLoad bool
}
