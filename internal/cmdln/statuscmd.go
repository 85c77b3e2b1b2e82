package cmdln

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/pkg/admin"
)

// statusTimeout limits how long the command waits for the status of one node.
const statusTimeout = 3 * time.Second

// nodeStatus is the status of a node, or the error if it could not be fetched.
type nodeStatus struct {
	Node   netip.AddrPort
	Error  string        `json:",omitempty"`
	Status *admin.Status `json:",omitempty"`
}

func runStatus(ctx context.Context, c *console, args []string) error {
	flags := newFlags(c, "status", "ADDRESS...")
	asJSON := flags.Bool("json", false, "print JSON")
	if err := parse(flags, args, 1, 10000); err != nil {
		return err
	}
	client := admin.NewClient(statusTimeout)
	var statuses []nodeStatus
	for _, arg := range flags.Args() {
		address, err := netip.ParseAddrPort(arg)
		if err != nil {
			return &usageError{fmt.Sprintf("%q: want the IP address and port of a node's administration listener", arg)}
		}
		s := nodeStatus{Node: address}
		if s.Status, err = client.Status(ctx, address); err != nil {
			s.Error = trace.UserMessage(err)
		}
		statuses = append(statuses, s)
	}
	if *asJSON {
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(statuses))
	}
	return printStatus(c, statuses)
}

func printStatus(c *console, statuses []nodeStatus) error {
	newest := newestPosition(statuses)
	newestSettings := newestSettings(statuses)
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tZONE\tSERVICE\tUPSTREAM\tREVISION\tAGE\tNODES\tFLIGHT/LIMIT\tALLOCATES\tSETTINGS\tREFUSALS")
	for _, s := range statuses {
		if s.Status == nil {
			fmt.Fprintf(w, "%v\t%s\n", s.Node, s.Error)
			continue
		}
		revision := fmt.Sprint(s.Status.Revision)
		if positionOf(s.Status).Before(newest) {
			revision += " (behind)"
		}
		age := "never"
		if s.Status.AgeMS >= 0 {
			age = (time.Duration(s.Status.AgeMS) * time.Millisecond).Round(100 * time.Millisecond).String()
		}
		fmt.Fprintf(w, "%v\t%s\t%s\t%s\t%s\t%s\t%d\t%d/%d\t%s\t%s\t%s\n", s.Node, s.Status.Zone, s.Status.Service, s.Status.Readiness, revision, age, len(s.Status.Members), s.Status.InFlight, s.Status.Limit, strings.Trim(fmt.Sprint(s.Status.Allocators), "[]"), formatSettings(&s.Status.Settings, newestSettings), formatRefusals(s.Status.Refusals))
	}
	if err := w.Flush(); err != nil {
		return trace.Wrap(err)
	}
	if err := printEvacuations(c, statuses); err != nil {
		return err
	}
	return printProblems(c, statuses)
}

// printProblems prints the values of the configuration that could not be applied as they are,
// and on how many of the nodes that answered.
func printProblems(c *console, statuses []nodeStatus) error {
	answered := 0
	known := make(map[string]int)
	for _, s := range statuses {
		if s.Status == nil {
			continue
		}
		answered++
		for _, problem := range s.Status.Problems {
			known[problem]++
		}
	}
	for _, problem := range slices.Sorted(maps.Keys(known)) {
		if _, err := fmt.Fprintf(c.out, "configuration: %s (%d of %d nodes)\n", problem, known[problem], answered); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// printEvacuations prints which availability zones are evacuated, how many of the nodes
// that answered know of each, and since when the first of them does.
func printEvacuations(c *console, statuses []nodeStatus) error {
	answered := 0
	known := make(map[string]int)
	since := make(map[string]time.Time)
	for _, s := range statuses {
		if s.Status == nil {
			continue
		}
		answered++
		for zone, at := range s.Status.Evacuated {
			if known[zone] == 0 || at.Before(since[zone]) {
				since[zone] = at
			}
			known[zone]++
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(known)) {
		if _, err := fmt.Fprintf(c.out, "availability zone %s is evacuated since %s, known to %d of %d nodes\n", zone, since[zone].UTC().Format(time.RFC3339), known[zone], answered); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// newestPosition returns the latest position of the platform's store that is in force on
// any of the nodes.
func newestPosition(statuses []nodeStatus) store.Position {
	var newest store.Position
	for _, s := range statuses {
		if s.Status != nil && newest.Before(positionOf(s.Status)) {
			newest = positionOf(s.Status)
		}
	}
	return newest
}

// positionOf returns the position of the platform's store that is in force on a node.
func positionOf(status *admin.Status) store.Position {
	return store.Position{Era: status.Era, Revision: status.Revision}
}

// newestSettings returns the digest of the settings that were loaded last on any of the
// nodes.
func newestSettings(statuses []nodeStatus) string {
	var newest admin.Settings
	for _, s := range statuses {
		if s.Status != nil && !s.Status.Settings.LoadedAt.Before(newest.LoadedAt) {
			newest = s.Status.Settings
		}
	}
	return newest.Digest
}

// formatSettings returns the digest of a node's settings, marked if they are not the
// newest, if some take effect only after a restart, or if the node has rejected a later
// version of its settings file.
func formatSettings(settings *admin.Settings, newest string) string {
	text := settings.Digest
	if settings.Digest != newest {
		text += " (old)"
	}
	if len(settings.Pending) > 0 {
		text += " (restart for " + strings.Join(settings.Pending, ",") + ")"
	}
	if settings.Rejected != "" {
		text += " (file rejected)"
	}
	return text
}

func formatRefusals(refusals map[string]int64) string {
	var parts []string
	for cause, count := range refusals {
		parts = append(parts, fmt.Sprintf("%s=%d", cause, count))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
