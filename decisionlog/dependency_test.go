package decisionlog

import (
	"errors"
	"slices"
	"testing"

	"github.com/apex/log"
)

func TestDependencyLogsStateChanges(t *testing.T) {
	var lines []string
	d := Dependency{Name: "store", Logger: &log.Logger{Level: log.InfoLevel, Handler: log.HandlerFunc(func(e *log.Entry) error {
		lines = append(lines, e.Message+" "+e.Fields.Get("dependency").(string))
		return nil
	})}}
	failed := errors.New("down")
	for _, err := range []error{nil, failed, failed, nil, nil, failed} {
		d.Record(err, nil)
	}
	want := []string{"dependency lost store", "dependency regained store", "dependency lost store"}
	if !slices.Equal(lines, want) {
		t.Errorf("got %q, want %q", lines, want)
	}
}
