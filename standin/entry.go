package standin

// Entry is the answer to a read of the archive.
type Entry struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}
