package fleet

// ServerStart identifies one start of the server at an address, by its start time in Unix
// milliseconds.
type ServerStart struct {
	Address string
	Started int64
}
