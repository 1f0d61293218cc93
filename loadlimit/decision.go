package loadlimit

// Decision is the verdict on one request.
type Decision struct {
	ID      PermitID
	Verdict Verdict
}
