// Measure simulates a service under overload in virtual time, with its customers and
// with clients that retry. The upstreams admit requests with the code of the nodes'
// gate, or with a simpler control for comparison. Each INI file given is a case;
// Measure prints a table with a row for each case and control.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/gravitational/trace"
)

func main() {
	only := flag.String("only", "", "the `name` of the only control to run")
	seeds := flag.Int("seeds", 10, "the `number` of seeds of each case")
	flag.Parse()
	if err := run(flag.Args(), *only, *seeds); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", trace.UserMessage(err))
		os.Exit(1)
	}
}

func run(files []string, only string, seeds int) error {
	if len(files) == 0 {
		return trace.BadParameter("no cases: want at least one INI file")
	}
	fmt.Println("| case | control | goodput % of capacity | important served % | worst customer % of fair share | recovery s |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for _, file := range files {
		c, err := loadCase(file)
		if err != nil {
			return trace.Wrap(err)
		}
		for _, control := range controls {
			if only != "" && only != control {
				continue
			}
			var sum summary
			for seed := range seeds {
				sum.add(newModel(c, control, uint64(seed)).run())
			}
			fmt.Printf("| %s | %s | %s |\n", c.Name, control, sum.String())
		}
	}
	return nil
}
