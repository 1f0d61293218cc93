package standin

import "encoding/json"

// Receipt is the response to an order or a reservation.
type Receipt struct {
	ID string `json:"id"`
	// Number is the number of this run, counted over all runs of the service.
	Number int `json:"number"`
	// Body is the body of the request.
	Body json.RawMessage `json:"body"`
}
