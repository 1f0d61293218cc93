package wire

// Message is one typed message.
type Message interface {
	// Kind tells the messages apart on the wire.
	Kind() Kind
}
