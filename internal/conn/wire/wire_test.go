package wire

import (
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzDecode checks that any data either fails to decode, or decodes to a frame
// that can be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	for _, frame := range []Frame{{ID: 1, Kind: KindPing}, {Answer: true, ID: 7, Failure: "x"}, {Body: []byte{0xa0}, Kind: KindNews}} {
		data, err := Encode(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Add([]byte{0x9f})
	f.Add([]byte{0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		var frame Frame
		if Decode(data, &frame) != nil {
			return
		}
		again, err := Encode(frame)
		assert.NilError(t, err)
		var second Frame
		assert.NilError(t, Decode(again, &second))
	})
}
