package standin

// Echo tells what a service was asked.
type Echo struct {
	Method string              `json:"method"`
	Path   string              `json:"path"`
	Query  string              `json:"query"`
	Header map[string][]string `json:"header"`
	Body   []byte              `json:"body"`
}
