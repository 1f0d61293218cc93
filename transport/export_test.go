package transport

// Traffic returns the bytes of the connection's packets, sent and received, without the headers
// of UDP and IP, and the number of packets.
func (c *Conn) Traffic() (bytes, packets uint64) {
	s := c.raw.ConnectionStats()
	return s.BytesSent + s.BytesReceived, s.PacketsSent + s.PacketsReceived
}
