package audit

import (
	"fmt"
	"testing"
	"time"

	"github.com/laureltally/laureltally/metastore/memstore"
)

func TestReadByEnvironmentTimeAndActor(t *testing.T) {
	s := memstore.New(memstore.Options{})
	day := func(n int) time.Time { return time.Date(2026, 12, n, 9, 0, 0, 0, time.FixedZone("", 7200)) }
	for i, r := range []Record{
		{Environment: "e", Time: day(1), Actor: "anna"},
		{Environment: "e", Time: day(2), Actor: "boris"},
		{Environment: "e", Time: day(3), Actor: "anna"},
		{Environment: "ee", Time: day(2), Actor: "anna"},
	} {
		r.ID = fmt.Sprint(i)
		for range 2 { // Writing a record again must have no effect.
			if err := Write(t.Context(), s, r); err != nil {
				t.Fatal(err)
			}
		}
	}
	tests := []struct {
		query Query
		want  string
	}{
		{Query{Environment: "e"}, "012"},
		{Query{Environment: "e", Actor: "anna"}, "02"},
		{Query{Environment: "e", From: day(2)}, "12"},
		{Query{Environment: "e", From: day(2), To: day(3)}, "1"},
		{Query{Environment: "e", To: day(2)}, "0"},
		{Query{Environment: "ee", From: day(1), To: day(9)}, "3"},
		{Query{Environment: "x"}, ""},
	}
	for _, tt := range tests {
		records, err := Read(t.Context(), s, tt.query)
		if err != nil {
			t.Fatal(err)
		}
		got := ""
		for _, r := range records {
			got += r.ID
		}
		if got != tt.want {
			t.Errorf("%+v: got %q, want %q", tt.query, got, tt.want)
		}
	}
}
