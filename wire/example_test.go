package wire_test

import (
	"bytes"
	"fmt"

	"github.com/laureltally/laureltally/wire"
)

// Messages are framed one after the other on a stream.
func ExampleRead() {
	var stream bytes.Buffer
	for seq := range uint64(2) {
		if err := wire.Write(&stream, &wire.Ping{Seq: seq}); err != nil {
			fmt.Println(err)
			return
		}
	}
	for {
		m, err := wire.Read(&stream)
		if err != nil {
			fmt.Println(err)
			return
		}
		if ping, ok := m.(*wire.Ping); ok {
			fmt.Println("ping", ping.Seq)
		}
	}
	// Output:
	// ping 0
	// ping 1
	// EOF
}
