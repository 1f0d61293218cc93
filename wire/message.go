package wire

// Message is implemented by all messages.
type Message interface {
	// Kind returns the type byte of the message.
	Kind() Kind
}
