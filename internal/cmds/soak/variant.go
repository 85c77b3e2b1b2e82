package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// variant is a run with its own hosts, callers and events in place of those of a seed's
// plan.
type variant interface {
	// hosts returns the number of hosts.
	hosts() int
	// events returns the events.
	events(seed uint64) []Event
	// length returns the minimum length of the run.
	length() time.Duration
	// programPath returns a function for the paths of programs. It may add programs in a
	// directory.
	programPath(dir string, programPath func(name string) (string, error)) func(name string) (string, error)
	// startCallers starts the callers, which send requests until the context ends.
	startCallers(ctx context.Context, c *callers, seed uint64)
}

// chooseVariant returns the variant of an idle run or of a bodies run, nil if both names are
// empty.
func chooseVariant(idle, bodies string) (variant, error) {
	switch {
	case idle != "" && bodies != "":
		return nil, trace.BadParameter("-idle and -bodies: want one of them")
	case idle != "":
		if run, ok := idleRuns[idle]; ok {
			return run, nil
		}
		return nil, trace.BadParameter("-idle %q: no such variant", idle)
	case bodies != "":
		if run, ok := bodiesRuns[bodies]; ok {
			return run, nil
		}
		return nil, trace.BadParameter("-bodies %q: no such variant", bodies)
	}
	return nil, nil
}

// names returns the names of variants as a text.
func names[V variant](runs map[string]V) string {
	return strings.Join(slices.Sorted(maps.Keys(runs)), ", ")
}

// programScript returns a function for the paths of programs. That of one program is a script
// in a directory that runs a shell command before it and adds arguments to its own.
func programScript(dir, program, command, arguments string, programPath func(name string) (string, error)) func(name string) (string, error) {
	return func(name string) (string, error) {
		path, err := programPath(name)
		if err != nil || name != program {
			return path, trace.Wrap(err)
		}
		script := filepath.Join(dir, program+".sh")
		text := fmt.Sprintf("#!/bin/sh\n%s\nexec '%s' \"$@\" %s\n", command, path, arguments)
		return script, trace.ConvertSystemError(os.WriteFile(script, []byte(text), 0o700))
	}
}
