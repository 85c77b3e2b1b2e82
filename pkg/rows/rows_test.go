package rows

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzReadCSV checks that each text is either rejected or gives a table that is the same
// after it is written and read again.
func FuzzReadCSV(f *testing.F) {
	f.Add("Route,Customer\nGET /a,x\n")
	f.Add("Route,Customer,Rate\nGET /a,x,NaN\n")
	f.Add("Route,Customer,Open,Timeout\n* /a/b,*,yes,5s\n")
	f.Add("Route\n")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		table, err := ReadCSV(strings.NewReader(text))
		if err != nil {
			return
		}
		var out bytes.Buffer
		assert.NilError(t, WriteCSV(&out, table))
		again, err := ReadCSV(&out)
		assert.NilError(t, err)
		assert.DeepEqual(t, table, again)
	})
}
