package standin

import (
	"encoding/json"
	"net/http"
)

// maxBodyBytes bounds the bodies that the stand-ins read.
const maxBodyBytes = 32 << 20

// writeJSON writes a JSON response.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// readJSON decodes a JSON request body into body. If it can't, it responds with
// status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(body); err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Error: err.Error()})
		return false
	}
	return true
}
