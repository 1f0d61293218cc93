package wire

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Guards against a router and a sidecar of different versions that misread each other: an
// old sidecar finds its fields where they were, and an old router's request has no tenant.
func TestReserveBetweenVersions(t *testing.T) {
	type oldReserve struct {
		Request   string        `cbor:"1,keyasint"`
		MaxWait   time.Duration `cbor:"6,keyasint,omitempty"`
		Objective time.Duration `cbor:"7,keyasint,omitempty"`
	}
	m := &Reserve{Request: "r", MaxWait: 1, Objective: 2, Tenant: "t", Deadline: 3}
	var buf bytes.Buffer
	if err := Write(&buf, m); err != nil {
		t.Fatal(err)
	}
	var old oldReserve
	if err := cbor.Unmarshal(buf.Bytes()[5:], &old); err != nil || old != (oldReserve{"r", 1, 2}) {
		t.Errorf("an old sidecar reads %+v: %v", old, err)
	}
	if got, err := Read(&buf); err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("got %+v: %v", got, err)
	}
	body, err := cbor.Marshal(old)
	if err != nil {
		t.Fatal(err)
	}
	frame := append([]byte{byte(KindReserve), 0, 0, 0, byte(len(body))}, body...)
	got, err := Read(bytes.NewReader(frame))
	if r, ok := got.(*Reserve); err != nil || !ok || r.Tenant != "" || r.Deadline != 0 || r.MaxWait != 1 {
		t.Errorf("from an old router: %+v: %v", got, err)
	}
}
