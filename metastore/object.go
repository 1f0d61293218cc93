package metastore

// Object is one stored value with its version.
type Object struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value"`
	Version Version `json:"version"`
}
