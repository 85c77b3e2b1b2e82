package cmdln

import (
	"context"
	"fmt"
)

// Version is the version of the program, which nodes also report in their status.
const Version = "0.1.0"

func runVersion(_ context.Context, c *console, args []string) error {
	flags := newFlags(c, "version", "")
	if err := parse(flags, args, 0, 0); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "wasabibend %s\n", Version)
	return nil
}
