package gate

// TicketID identifies one request for a place. The caller makes it unique.
type TicketID uint64
