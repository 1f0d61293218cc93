package coldstart

import (
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"
)

// TestNoPlatformImports checks that choosing a VM can't make a platform call.
func TestNoPlatformImports(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("files %v, error %v", files, err)
	}
	for _, name := range files {
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, i := range f.Imports {
			if strings.HasSuffix(i.Path.Value, `/platform"`) || i.Path.Value == `"net/http"` {
				t.Errorf("%s imports %s", name, i.Path.Value)
			}
		}
	}
}
