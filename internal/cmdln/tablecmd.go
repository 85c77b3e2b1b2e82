package cmdln

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"github.com/wasabibend/wasabibend/internal/process/store"
	"github.com/wasabibend/wasabibend/internal/version/edits"
	"github.com/wasabibend/wasabibend/pkg/rows"
	"github.com/wasabibend/wasabibend/platform/objs"
)

func runTable(ctx context.Context, c *console, args []string) error {
	return dispatch(ctx, c, "table", []command{
		{"delete", runTableDelete, "delete a row"},
		{"diff", runTableDiff, "show how a CSV file differs from the table"},
		{"export", runTableExport, "print the table as CSV"},
		{"get", runTableGet, "show a row and its version"},
		{"history", runTableHistory, "show the last edits of a row"},
		{"import", runTableImport, "add and change rows from a CSV file"},
		{"set", runTableSet, "set columns of a row"},
	}, args)
}

// tableCall is what the verbs of the table have in common.
type tableCall struct {
	base   uint64
	editor *edits.Editor
	rest   []string
}

// openTable parses the flags of a verb.
func openTable(c *console, verb, operands string, args []string, least, most int) (*tableCall, error) {
	flags := newFlags(c, "table "+verb, operands)
	address := flags.String("platform", "", "the `URL` of the platform's object API")
	base := flags.Uint64("version", 0, "the row's `version` that the edit is based on; 0 for any")
	if err := parse(flags, args, least, most); err != nil {
		return nil, err
	}
	return &tableCall{base: *base, editor: edits.New(objs.New(*address)), rest: flags.Args()}, nil
}

func runTableDelete(ctx context.Context, c *console, args []string) error {
	t, err := openTable(c, "delete", "ROUTE CUSTOMER", args, 2, 2)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := t.editor.DeleteRow(ctx, time.Now(), t.rest[0], t.rest[1], t.base); err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(c.out, "deleted %s, %s\n", t.rest[0], t.rest[1])
	return nil
}

func runTableDiff(ctx context.Context, c *console, args []string) error {
	t, err := openTable(c, "diff", "FILE", args, 1, 1)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	changes, err := t.compare(ctx, t.rest[0])
	if err != nil {
		return trace.Wrap(err)
	}
	for _, change := range changes {
		change.print(c.out)
	}
	return nil
}

func runTableExport(ctx context.Context, c *console, args []string) error {
	t, err := openTable(c, "export", "", args, 0, 0)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := t.editor.Rows(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	table := make([]rows.Row, 0, len(stored))
	for _, row := range stored {
		table = append(table, row.Row)
	}
	return trace.Wrap(rows.WriteCSV(c.out, table))
}

func runTableGet(ctx context.Context, c *console, args []string) error {
	t, err := openTable(c, "get", "ROUTE CUSTOMER", args, 2, 2)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := t.editor.Row(ctx, t.rest[0], t.rest[1])
	if errors.Is(err, store.ErrNotFound) || (err == nil && row.Deleted) {
		return trace.NotFound("there is no row for %q and %q", t.rest[0], t.rest[1])
	}
	if err != nil {
		return trace.Wrap(err)
	}
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	for i, value := range row.Row.Record() {
		fmt.Fprintf(w, "%s\t%s\n", rows.Columns[i], value)
	}
	fmt.Fprintf(w, "Version\t%d\n", row.Version)
	return trace.Wrap(w.Flush())
}

func runTableHistory(ctx context.Context, c *console, args []string) error {
	t, err := openTable(c, "history", "ROUTE CUSTOMER", args, 2, 2)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := t.editor.Row(ctx, t.rest[0], t.rest[1])
	if err != nil {
		return trace.Wrap(err)
	}
	state := strings.Join(row.Row.Record(), ",")
	if row.Deleted {
		state = "deleted"
	}
	for i, edit := range row.Edits {
		fmt.Fprintf(c.out, "%s  %s  %s\n", edit.Time.Format(time.RFC3339), edit.ID, state)
		if i < len(row.Previous) {
			state = strings.Join(row.Previous[i].Record(), ",")
		}
	}
	return nil
}

func runTableImport(ctx context.Context, c *console, args []string) error {
	t, err := openTable(c, "import", "FILE", args, 1, 1)
	if err != nil {
		return err
	}
	changes, err := t.compare(ctx, t.rest[0])
	if err != nil {
		return trace.Wrap(err)
	}
	for _, change := range changes {
		if change.next == nil {
			continue
		}
		if err := t.apply(ctx, change); err != nil {
			return trace.Wrap(err)
		}
		change.print(c.out)
	}
	return nil
}

func (t *tableCall) apply(ctx context.Context, change tableChange) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := t.editor.SetRow(ctx, time.Now(), change.next.Route, change.next.Customer, change.version, func(row *rows.Row) error {
		*row = *change.next
		return nil
	})
	return trace.Wrap(err)
}

func runTableSet(ctx context.Context, c *console, args []string) error {
	t, err := openTable(c, "set", "ROUTE CUSTOMER COLUMN=VALUE...", args, 3, 2+len(rows.Columns))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := t.editor.SetRow(ctx, time.Now(), t.rest[0], t.rest[1], t.base, func(row *rows.Row) error {
		for _, assignment := range t.rest[2:] {
			column, value, ok := strings.Cut(assignment, "=")
			if !ok {
				return trace.BadParameter("%q: want COLUMN=VALUE", assignment)
			}
			if err := row.Set(column, value); err != nil {
				return trace.Wrap(err)
			}
		}
		return nil
	})
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintln(c.out, strings.Join(row.Record(), ","))
	return nil
}

// tableChange is a row that differs between the table and a file. The next row
// is nil for one that the file does not have.
type tableChange struct {
	next, stored *rows.Row
	version      uint64
}

func (t *tableChange) print(w io.Writer) {
	if t.stored != nil {
		fmt.Fprintf(w, "- %s\n", strings.Join(t.stored.Record(), ","))
	}
	if t.next != nil {
		fmt.Fprintf(w, "+ %s\n", strings.Join(t.next.Record(), ","))
	}
}

// compare returns how a file differs from the table.
func (t *tableCall) compare(ctx context.Context, file string) ([]tableChange, error) {
	table, err := loadTable(file)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	stored, err := t.editor.Rows(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	byID := make(map[[2]string]*edits.VersionedRow)
	for i := range stored {
		byID[[2]string{stored[i].Row.Route, stored[i].Row.Customer}] = &stored[i]
	}
	var changes []tableChange
	for i := range table {
		id := [2]string{table[i].Route, table[i].Customer}
		old := byID[id]
		delete(byID, id)
		switch {
		case old == nil:
			changes = append(changes, tableChange{next: &table[i]})
		case old.Row != table[i]:
			changes = append(changes, tableChange{next: &table[i], stored: &old.Row, version: old.Version})
		}
	}
	for i := range stored {
		if byID[[2]string{stored[i].Row.Route, stored[i].Row.Customer}] != nil {
			changes = append(changes, tableChange{stored: &stored[i].Row})
		}
	}
	return changes, nil
}
