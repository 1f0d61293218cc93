package config

// Change is one difference between two documents.
type Change struct {
	// Path names list entries by their name: models[outlook].memory_mb.
	Path string     `json:"path"`
	Kind ChangeKind `json:"kind"`
	// Old and New are JSON, cut after maxChangeBytes; one is empty where the
	// field was added or removed.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// maxChangeBytes bounds Old and New, in bytes.
const maxChangeBytes = 200
