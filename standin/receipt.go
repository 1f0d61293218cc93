package standin

import "encoding/json"

// Receipt is the answer to an order or a reservation.
type Receipt struct {
	ID string `json:"id"`
	// Number counts the runs of the service.
	Number int `json:"number"`
	// Body is the body of the request.
	Body json.RawMessage `json:"body"`
}
