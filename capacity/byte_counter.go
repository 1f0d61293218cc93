package main

// byteCounter counts the bytes written to it.
type byteCounter int

// Write implements io.Writer.
func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))
	return len(p), nil
}
