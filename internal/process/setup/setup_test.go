package setup

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"
)

// TestParse parses the files in testdata/settings.txtar. The comment in the first line
// of each file is the expected error, or "valid".
func TestParse(t *testing.T) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "settings.txtar"))
	assert.NilError(t, err)
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			want, _, _ := strings.Cut(string(file.Data), "\n")
			want = strings.TrimPrefix(want, "# ")
			_, err := Parse(file.Name, file.Data)
			if want == "valid" {
				assert.NilError(t, err)
				return
			}
			assert.Error(t, err, want)
		})
	}
}

// FuzzParse checks that Parse never panics, and that it returns either settings or an
// error.
func FuzzParse(f *testing.F) {
	archive, err := txtar.ParseFile(filepath.Join("testdata", "settings.txtar"))
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range archive.Files {
		f.Add(file.Data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("x.ini", data)
		assert.Check(t, (s == nil) == (err != nil))
	})
}
