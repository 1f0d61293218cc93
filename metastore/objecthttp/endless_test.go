package objecthttp_test

import (
	"errors"
	"testing"

	"github.com/laureltally/laureltally/internal/endless"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/metastore/objecthttp"
)

// maxSent and maxAllocated bound an answer whose body does not end: an eighth of the memory of the
// smallest VM, with chunks that are mostly overhead.
const (
	maxSent      = 128 << 20
	maxAllocated = 216 << 20 / 8
)

func newEndlessClient(t *testing.T, address string) *objecthttp.Client {
	t.Helper()
	c, err := objecthttp.New(objecthttp.Options{BaseURL: "http://" + address})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// Guards against a store whose answer does not end and fills the memory of the VM that asked.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	for name, call := range map[string]func(*objecthttp.Client) error{
		"get":  func(c *objecthttp.Client) error { _, err := c.Get(t.Context(), "a/b"); return err },
		"put":  func(c *objecthttp.Client) error { _, err := c.Put(t.Context(), "a/b", nil, 0); return err },
		"list": func(c *objecthttp.Client) error { _, _, err := c.List(t.Context(), "a/"); return err },
		"watch": func(c *objecthttp.Client) error {
			return c.Watch(t.Context(), "a/", 1, func(metastore.Event) {})
		},
	} {
		measure := func(t *testing.T, a endless.Answer) endless.Cost {
			return endless.Measure(t, a, func(address string) {
				err := call(newEndlessClient(t, address))
				var unavailable *metastore.UnavailableError
				if !errors.As(err, &unavailable) {
					t.Errorf("got error %v", err)
				}
			})
		}
		for _, a := range endless.Heads() {
			t.Run(name+"/head/"+a.Name, func(t *testing.T) { measure(t, a).CheckHead(t) })
		}
		for _, a := range endless.Bodies() {
			t.Run(name+"/body/"+a.Name, func(t *testing.T) { measure(t, a).Check(t, maxSent, maxAllocated) })
		}
	}
}
