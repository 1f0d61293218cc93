package enginehttp_test

import (
	"errors"
	"testing"

	"github.com/laureltally/laureltally/engine"
	"github.com/laureltally/laureltally/engine/enginehttp"
	"github.com/laureltally/laureltally/internal/endless"
)

// maxSent and maxAllocated bound an answer whose body does not end: an eighth of the memory of the
// smallest VM, with chunks that are mostly overhead.
const (
	maxSent      = 64 << 20
	maxAllocated = 216 << 20 / 8
)

func newEndlessClient(t *testing.T, address string) *enginehttp.Client {
	t.Helper()
	c, err := enginehttp.New(enginehttp.Options{BaseURL: "http://" + address})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// Guards against an engine whose answer does not end and fills the memory of the VM that asked.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	for name, call := range map[string]func(*enginehttp.Client) error{
		"state": func(c *enginehttp.Client) error { _, err := c.State(t.Context()); return err },
		"order": func(c *enginehttp.Client) error { return c.Submit(t.Context(), engine.Order{}) },
	} {
		measure := func(t *testing.T, a endless.Answer) endless.Cost {
			return endless.Measure(t, a, func(address string) {
				err := call(newEndlessClient(t, address))
				var failed *enginehttp.CallError
				if !errors.As(err, &failed) {
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
