package config

// Change is one difference between two documents.
type Change struct {
	// Path identifies list entries by name, as in models[outlook].memory_mb.
	Path string     `json:"path"`
	Kind ChangeKind `json:"kind"`
	// Old and New are JSON, truncated after maxChangeBytes. Old is empty for an
	// added field, New for a removed one.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// maxChangeBytes is the length after which Old and New are truncated, in bytes.
const maxChangeBytes = 200
