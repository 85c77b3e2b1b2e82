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
		{"diff", runTableDiff, "show the differences between the table and a CSV file"},
		{"export", runTableExport, "print the table as CSV"},
		{"get", runTableGet, "show a row and its version"},
		{"history", runTableHistory, "show the last edits of a row"},
		{"import", runTableImport, "add and change rows as listed in a CSV file"},
		{"set", runTableSet, "set columns of a row"},
	}, args)
}

// tableCall holds the parsed operands and flags of a verb of the table command.
type tableCall struct {
	baseVersion uint64 // version of the row that an edit is based on, 0 for any
	editor      *edits.Editor
	operands    []string
}

// newTableCall parses the flags and operands of a verb of the table command. All
// verbs share the same flags.
func newTableCall(c *console, verb, operands string, args []string, minOperands, maxOperands int) (*tableCall, error) {
	flags := newFlags(c, "table "+verb, operands)
	address := flags.String("platform", "", "the `URL` of the platform's object API")
	base := flags.Uint64("version", 0, "edit the row only if it has this `version`; 0 for any version")
	if err := parse(flags, args, minOperands, maxOperands); err != nil {
		return nil, err
	}
	return &tableCall{baseVersion: *base, editor: edits.New(objs.New(*address)), operands: flags.Args()}, nil
}

func runTableDelete(ctx context.Context, c *console, args []string) error {
	t, err := newTableCall(c, "delete", "ROUTE CUSTOMER", args, 2, 2)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := t.editor.DeleteRow(ctx, time.Now(), t.operands[0], t.operands[1], t.baseVersion); err != nil {
		return trace.Wrap(err)
	}
	fmt.Fprintf(c.out, "deleted %s, %s\n", t.operands[0], t.operands[1])
	return nil
}

func runTableDiff(ctx context.Context, c *console, args []string) error {
	t, err := newTableCall(c, "diff", "FILE", args, 1, 1)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	changes, err := t.compare(ctx, c, t.operands[0])
	if err != nil {
		return trace.Wrap(err)
	}
	for _, change := range changes {
		change.print(c.out)
	}
	return nil
}

// warnUnreadable tells which objects are left out of a list, because they are not valid.
func warnUnreadable(c *console, keys []string) {
	if len(keys) > 0 {
		fmt.Fprintf(c.err, "%d objects are not valid and left out, the first one is %s\n", len(keys), keys[0])
	}
}

func runTableExport(ctx context.Context, c *console, args []string) error {
	t, err := newTableCall(c, "export", "", args, 0, 0)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, unreadable, err := t.editor.Rows(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	warnUnreadable(c, unreadable)
	table := make([]rows.Row, 0, len(stored))
	for _, row := range stored {
		table = append(table, row.Row)
	}
	return trace.Wrap(rows.WriteCSV(c.out, table))
}

func runTableGet(ctx context.Context, c *console, args []string) error {
	t, err := newTableCall(c, "get", "ROUTE CUSTOMER", args, 2, 2)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := t.editor.Row(ctx, t.operands[0], t.operands[1])
	if errors.Is(err, store.ErrNotFound) || (err == nil && row.Deleted) {
		return trace.NotFound("there is no row for route %q and customer %q", t.operands[0], t.operands[1])
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
	t, err := newTableCall(c, "history", "ROUTE CUSTOMER", args, 2, 2)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := t.editor.Row(ctx, t.operands[0], t.operands[1])
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
	t, err := newTableCall(c, "import", "FILE", args, 1, 1)
	if err != nil {
		return err
	}
	changes, err := t.compare(ctx, c, t.operands[0])
	if err != nil {
		return trace.Wrap(err)
	}
	for _, change := range changes {
		if change.fileRow == nil {
			continue
		}
		if err := t.apply(ctx, change); err != nil {
			return trace.Wrap(err)
		}
		change.print(c.out)
	}
	return nil
}

// apply writes the row of the file to the table. If the table had the row when it
// was compared, a later version of the row is not overwritten.
func (t *tableCall) apply(ctx context.Context, change tableChange) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return trace.Wrap(t.editor.PutRow(ctx, time.Now(), *change.fileRow, change.version))
}

func runTableSet(ctx context.Context, c *console, args []string) error {
	t, err := newTableCall(c, "set", "ROUTE CUSTOMER COLUMN=VALUE...", args, 3, 2+len(rows.Columns))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := t.editor.SetRow(ctx, time.Now(), t.operands[0], t.operands[1], t.baseVersion, func(row *rows.Row) error {
		for _, assignment := range t.operands[2:] {
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

// tableChange is a row that differs between the table and a CSV file. One of
// the rows is nil if only the other exists. The version is that of the stored row if
// both exist, and 0 otherwise.
type tableChange struct {
	fileRow, storedRow *rows.Row
	version            uint64
}

// print prints the stored row after a "-" and the row in the file after a "+".
func (t *tableChange) print(w io.Writer) {
	if t.storedRow != nil {
		fmt.Fprintf(w, "- %s\n", strings.Join(t.storedRow.Record(), ","))
	}
	if t.fileRow != nil {
		fmt.Fprintf(w, "+ %s\n", strings.Join(t.fileRow.Record(), ","))
	}
}

// compare returns the rows that differ between the table and a CSV file: first
// those in the file, in its order, then those that only the table has.
func (t *tableCall) compare(ctx context.Context, c *console, file string) ([]tableChange, error) {
	fileRows, err := loadTable(file)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	storedRows, unreadable, err := t.editor.Rows(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	warnUnreadable(c, unreadable)
	unmatched := make(map[[2]string]*edits.VersionedRow)
	for i := range storedRows {
		unmatched[[2]string{storedRows[i].Row.Route, storedRows[i].Row.Customer}] = &storedRows[i]
	}
	var changes []tableChange
	for i := range fileRows {
		id := [2]string{fileRows[i].Route, fileRows[i].Customer}
		storedRow := unmatched[id]
		delete(unmatched, id)
		switch {
		case storedRow == nil:
			changes = append(changes, tableChange{fileRow: &fileRows[i]})
		case storedRow.Row != fileRows[i]:
			changes = append(changes, tableChange{fileRow: &fileRows[i], storedRow: &storedRow.Row, version: storedRow.Version})
		}
	}
	for i := range storedRows {
		if unmatched[[2]string{storedRows[i].Row.Route, storedRows[i].Row.Customer}] != nil {
			changes = append(changes, tableChange{storedRow: &storedRows[i].Row})
		}
	}
	return changes, nil
}
