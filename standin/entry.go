package standin

// Entry is the response to a read of the archive.
type Entry struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}
