package serving

// ResponseInfo is what the header of an upstream's answer says.
type ResponseInfo struct {
	// RequestID is that of the request which the answer belongs to.
	RequestID string
	// Sealed is set when the upstream vouches for the body.
	Sealed bool
	// NotExecuted is set when the upstream says that it has not run the request and
	// will not.
	NotExecuted bool
	// WrongVM is set when the address belongs to another VM than the one meant.
	WrongVM bool
	// ContentEncoded is set when the body is not as the upstream made it.
	ContentEncoded bool
	// Load is what the upstream says of itself, if HasLoad is set.
	Load    Load
	HasLoad bool
}
