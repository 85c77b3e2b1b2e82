package rows

import (
	"encoding/csv"
	"errors"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// Columns are the names of the columns of the CSV form, in the order in which
// WriteCSV writes them.
var Columns = []string{
	"Route", "Customer", "Open", "Weight", "Rate", "Burst", "Importance",
	"Retries", "Timeout", "MaxBody", "Idempotent", "KeyGrace",
}

// Default returns the row of a route and customer with the default values of all other
// columns.
func Default(route, customer string) Row {
	return Row{
		Route:      route,
		Customer:   customer,
		Weight:     1,
		Rate:       10,
		Burst:      10,
		Importance: 5,
		Retries:    3,
		Timeout:    5 * time.Second,
		MaxBody:    1 << 20,
	}
}

// Set sets a column from its text form. It returns an error for an unknown column and
// for a text that cannot be parsed; Check checks the range of the value.
func (r *Row) Set(column, text string) error {
	var err error
	switch column {
	case "Burst":
		r.Burst, err = strconv.ParseFloat(text, 64)
	case "Customer":
		r.Customer = text
	case "Idempotent":
		r.Idempotent, err = parseYesNo(text)
	case "Importance":
		r.Importance, err = strconv.Atoi(text)
	case "KeyGrace":
		r.KeyGrace, err = time.ParseDuration(text)
	case "MaxBody":
		r.MaxBody, err = strconv.ParseInt(text, 10, 64)
	case "Open":
		r.Open, err = parseYesNo(text)
	case "Rate":
		r.Rate, err = strconv.ParseFloat(text, 64)
	case "Retries":
		r.Retries, err = strconv.Atoi(text)
	case "Route":
		r.Route = text
	case "Timeout":
		r.Timeout, err = time.ParseDuration(text)
	case "Weight":
		r.Weight, err = strconv.ParseFloat(text, 64)
	default:
		return trace.BadParameter("column %q is unknown: want one of %v", column, Columns)
	}
	if err != nil {
		return trace.BadParameter("%s %q: %v", column, text, parseErrorReason(err))
	}
	return nil
}

// Record returns the text forms of all columns, in the order of Columns.
func (r *Row) Record() []string {
	return []string{
		r.Route,
		r.Customer,
		formatYesNo(r.Open),
		formatNumber(r.Weight),
		formatNumber(r.Rate),
		formatNumber(r.Burst),
		strconv.Itoa(r.Importance),
		strconv.Itoa(r.Retries),
		r.Timeout.String(),
		strconv.FormatInt(r.MaxBody, 10),
		formatYesNo(r.Idempotent),
		r.KeyGrace.String(),
	}
}

// ReadCSV reads a table with a header line. The header must name Route and Customer, and
// its columns may be in any order. Other columns that are missing or empty get their
// default values. An error names the line and, if one value is wrong, its column.
func ReadCSV(in io.Reader) ([]Row, error) {
	reader := csv.NewReader(in)
	header, err := reader.Read()
	if err != nil {
		return nil, trace.BadParameter("the table has no header line: %v", err)
	}
	if err := checkHeader(header); err != nil {
		return nil, trace.Wrap(err)
	}
	var table []Row
	seen := make(map[[2]string]int)
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return table, nil
		}
		if err != nil {
			return nil, trace.BadParameter("%v", err)
		}
		line, _ := reader.FieldPos(0)
		row, err := parseRecord(header, record)
		if err != nil {
			return nil, trace.BadParameter("line %d: %v", line, err)
		}
		id := [2]string{row.Route, row.Customer}
		if first, ok := seen[id]; ok {
			return nil, trace.BadParameter("line %d: route %q and customer %q are already on line %d", line, row.Route, row.Customer, first)
		}
		seen[id] = line
		table = append(table, row)
	}
}

// WriteCSV writes the rows with a header line.
func WriteCSV(out io.Writer, table []Row) error {
	writer := csv.NewWriter(out)
	if err := writer.Write(Columns); err != nil {
		return trace.Wrap(err)
	}
	for i := range table {
		if err := writer.Write(table[i].Record()); err != nil {
			return trace.Wrap(err)
		}
	}
	writer.Flush()
	return trace.Wrap(writer.Error())
}

func checkHeader(header []string) error {
	for i, column := range header {
		if !slices.Contains(Columns, column) {
			return trace.BadParameter("line 1: column %q is unknown: want one of %v", column, Columns)
		}
		if slices.Contains(header[:i], column) {
			return trace.BadParameter("line 1: column %q appears twice", column)
		}
	}
	for _, column := range Columns[:2] {
		if !slices.Contains(header, column) {
			return trace.BadParameter("line 1: column %q is missing", column)
		}
	}
	return nil
}

func parseRecord(header, record []string) (Row, error) {
	row := Default("", "")
	for i, column := range header {
		if record[i] == "" {
			continue
		}
		if err := row.Set(column, record[i]); err != nil {
			return Row{}, trace.Wrap(err)
		}
	}
	if err := row.Check(); err != nil {
		return Row{}, trace.Wrap(err)
	}
	return row, nil
}

func parseYesNo(text string) (bool, error) {
	switch text {
	case "no":
		return false, nil
	case "yes":
		return true, nil
	}
	return false, &strconv.NumError{Func: "parse", Num: text, Err: errors.New("want yes or no")}
}

func formatYesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}

func formatNumber(v float64) string {
	return strconv.FormatFloat(v, 'f', -1, 64)
}

// parseErrorReason returns the inner error of a parser's error, if it has one. The outer
// error repeats the input, which the message of Set already contains.
func parseErrorReason(err error) error {
	if inner := errors.Unwrap(err); inner != nil {
		return inner
	}
	return err
}
