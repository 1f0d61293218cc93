package findingstore

import (
	"slices"
	"testing"
	"time"

	"github.com/laureltally/laureltally/fleet"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/metastore/memstore"
	"github.com/laureltally/laureltally/quarantine"
)

// Two routers lost requests at the same crash.
func TestCrashesAreSharedThroughTheStore(t *testing.T) {
	ctx, s, now := t.Context(), memstore.New(memstore.Options{}), time.Unix(1000, 0)
	one, two := ident.TraitOfRequest(1), ident.TraitOfRequest(2)
	server := fleet.ServerStart{Address: "10.0.0.1:80", Started: 7}
	for _, trait := range []ident.Trait{one, two, one} {
		if err := SaveCrash(ctx, s, quarantine.Crash{Server: server, At: now, Traits: []ident.Trait{trait}}); err != nil {
			t.Fatal(err)
		}
	}
	server.Started = 8
	if err := SaveCrash(ctx, s, quarantine.Crash{Server: server, At: now.Add(time.Second), Traits: []ident.Trait{one}}); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Put(ctx, crashPrefix+"1", []byte(`"x"`), 0); err != nil {
		t.Fatal(err)
	}
	crashes, skipped, err := LoadCrashes(ctx, s, now.Add(time.Minute))
	if err != nil || len(crashes) != 2 || len(skipped) != 1 {
		t.Fatalf("crashes %+v, skipped %v, error %v", crashes, skipped, err)
	}
	for _, c := range crashes {
		want := []ident.Trait{one, two}
		if c.Server.Started == 8 {
			want = want[:1]
		}
		if !slices.Equal(c.Traits, want) {
			t.Errorf("%+v has traits %v, want %v", c.Server, c.Traits, want)
		}
	}
	// What was sound after them is forgotten by then.
	if crashes, _, _ := LoadCrashes(ctx, s, now.Add(5*time.Minute)); len(crashes) != 0 {
		t.Errorf("crashes of five minutes ago: %+v", crashes)
	}
	if crashes, _, _ := LoadCrashes(ctx, s, now.Add(time.Hour)); len(crashes) != 0 {
		t.Errorf("old crashes: %+v", crashes)
	}
	if objects, _, _ := s.List(ctx, crashPrefix); len(objects) != 1 {
		t.Errorf("old crashes are kept: %+v", objects)
	}
}
