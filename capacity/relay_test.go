package main

import (
	"context"
	"testing"
	"time"
)

func TestRelayCountsBytesOfConnections(t *testing.T) {
	for _, reports := range []bool{false, true} {
		l, err := newLink(context.Background(), 2, true, reports)
		if err != nil {
			t.Fatal(err)
		}
		before := l.relay.bytes.Load()
		time.Sleep(1200 * time.Millisecond)
		if n := l.relay.bytes.Load() - before; n == 0 || l.relay.packets.Load() == 0 {
			t.Errorf("no bytes counted, reports %v", reports)
		}
		l.close()
	}
}

func TestReplacedVMCostsOneWritePerModel(t *testing.T) {
	n, err := replacementWrites(3)
	if err != nil || n != 3 {
		t.Fatalf("%v writes, %v", n, err)
	}
}
