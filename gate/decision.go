package gate

// Decision is the verdict on one request.
type Decision struct {
	ID      TicketID
	Verdict Verdict
}
