package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/tailscale/hujson"
)

// ReadSettings reads JSON with comments from a file into v and refuses fields
// that v does not have.
func ReadSettings(path string, v any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	plain, err := hujson.Standardize(raw)
	if err != nil {
		return fmt.Errorf("settings %s: %w", path, err)
	}
	d := json.NewDecoder(bytes.NewReader(plain))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("settings %s: %w", path, err)
	}
	return nil
}
