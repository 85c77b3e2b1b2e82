package cmdln

import (
	"context"
	"fmt"
	"os"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/process/setup"
	"github.com/wasabibend/wasabibend/pkg/rows"
)

func runCheck(_ context.Context, c *console, args []string) error {
	flags := newFlags(c, "check", "")
	settings := flags.String("settings", "", "the `file` with a node's settings")
	table := flags.String("table", "", "the CSV `file` with a table")
	if err := parse(flags, args, 0, 0); err != nil {
		return err
	}
	if *settings == "" && *table == "" {
		return &usageError{"-settings or -table is required"}
	}
	if *settings != "" {
		if _, err := setup.Load(*settings); err != nil {
			return trace.Wrap(err)
		}
		fmt.Fprintf(c.out, "%s: the settings are valid\n", *settings)
	}
	if *table != "" {
		tableRows, err := loadTable(*table)
		if err != nil {
			return trace.Wrap(err)
		}
		fmt.Fprintf(c.out, "%s: %d rows are valid\n", *table, len(tableRows))
	}
	return nil
}

// loadTable reads the rows of a table from a CSV file. Its errors name the file and
// are of the kind trace.BadParameter.
func loadTable(file string) ([]rows.Row, error) {
	in, err := os.Open(file)
	if err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	defer in.Close()
	table, err := rows.ReadCSV(in)
	if err != nil {
		return nil, trace.BadParameter("%s: %v", file, err)
	}
	return table, nil
}
