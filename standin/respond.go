package standin

import (
	"encoding/json"
	"net/http"
)

// maxBodyBytes bounds the bodies that the fakes read.
const maxBodyBytes = 32 << 20

// respond writes a JSON answer.
func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that went away gets no answer.
	_ = json.NewEncoder(w).Encode(body)
}

// receive reads a JSON body or answers 400 and returns false.
func receive(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(body); err != nil {
		respond(w, http.StatusBadRequest, failure{Error: err.Error()})
		return false
	}
	return true
}
