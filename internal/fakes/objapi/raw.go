package objapi

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"

	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/platform/objs"
)

// rawObject returns the API's form of an object. The value is passed on as it is, also if
// encoding/json could not decode it.
func rawObject(object store.Object) []byte {
	converted := objs.ToObject(object)
	if converted.Spec == nil {
		converted.Spec = json.RawMessage("null")
	}
	metadata, err := json.Marshal(converted.Metadata)
	if err != nil {
		panic(err) // cannot happen: it has only strings, numbers and booleans
	}
	return joined(`{"metadata":`, metadata, `,"spec":`, converted.Spec, `,"status":null}`)
}

// rawList returns a JSON array of values as they are.
func rawList(values [][]byte) []byte {
	return joined("[", bytes.Join(values, []byte(",")), "]")
}

// joined joins texts that are strings or bytes.
func joined(parts ...any) []byte {
	var out bytes.Buffer
	for _, part := range parts {
		switch part := part.(type) {
		case string:
			out.WriteString(part)
		case []byte:
			out.Write(part)
		case json.RawMessage:
			out.Write(part)
		}
	}
	return out.Bytes()
}

// writeRaw writes a response whose body is JSON.
func writeRaw(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// readObject reads an object from the request's body without decoding its value. If it
// cannot, it responds with the error and returns false.
func readObject(w http.ResponseWriter, r *http.Request, into *objs.Object) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 2*store.MaxValueBytes))
	if err == nil {
		err = into.Decode(data)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
