// Platform runs the stand-in for the platform's object API.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/wasabibend/wasabibend/internal/fakes/objapi"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:7000", "the `address` to listen on")
	flag.Parse()
	server := &http.Server{Addr: *listen, Handler: objapi.New(), ReadHeaderTimeout: 10 * time.Second}
	if err := server.ListenAndServe(); err != nil {
		fmt.Fprintln(os.Stderr, "platform:", err)
		os.Exit(1)
	}
}
