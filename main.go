// Wasabibend is an overload control layer for service call graphs. This program
// runs a node, and has the commands for operators: they check settings, show the
// status of nodes, and edit the table and the API keys.
package main

import (
	"os"

	"github.com/wasabibend/wasabibend/internal/cmdln"
)

func main() {
	os.Exit(cmdln.Main(os.Args[1:], os.Stdout, os.Stderr))
}
