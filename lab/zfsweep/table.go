// Package zfsweep reads the table of a sweep over deployment sizes and extrapolates
// its measurements to the planned size.
package zfsweep

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrNoTable means a journal entry holds no table of a sweep.
var ErrNoTable = errors.New("no sweep table in the journal entry")

// Measurement is the middle and the greatest value over the instances of a role.
type Measurement struct {
	Middle   float64
	Greatest float64
}

// Row is one measured quantity at each size.
type Row struct {
	Name         string
	Measurements []Measurement
}

// Table holds the measurements of a sweep.
type Table struct {
	// Sizes are the numbers of instances of the system.
	Sizes []int
	Rows  []Row
}

// journalEntry is the part of a journal entry that is read here.
type journalEntry struct {
	// Digest is the sweep's report as it was printed.
	Digest string `json:"digest"`
}

// pairSeparator separates the middle from the greatest value.
const pairSeparator = " / "

// Read parses the table of a journal entry.
func Read(document []byte) (*Table, error) {
	var e journalEntry
	if err := json.Unmarshal(document, &e); err != nil {
		return nil, errors.Wrap(err, "read journal entry")
	}
	table := &Table{}
	for line := range strings.Lines(e.Digest) {
		line = strings.TrimRight(line, "\n")
		switch {
		case table.Sizes == nil:
			table.Sizes = parseHeader(line)
		case strings.Contains(line, pairSeparator):
			if row, ok := parseRow(line, len(table.Sizes)); ok {
				table.Rows = append(table.Rows, row)
			}
		}
	}
	if len(table.Rows) == 0 {
		return nil, ErrNoTable
	}
	return table, nil
}

// parseHeader returns the sizes of a table's header, which ends with the power and
// the size of the extrapolation. It returns nil if the line is no header.
func parseHeader(line string) []int {
	sizes, _, found := strings.Cut(line, "power")
	if !found || strings.TrimSpace(sizes) == "" {
		return nil
	}
	var header []int
	for _, field := range strings.Fields(sizes) {
		size, err := strconv.Atoi(field)
		if err != nil {
			return nil // Other lines contain the word power too.
		}
		header = append(header, size)
	}
	return header
}

// parseRow parses a row: its name, then a pair for each size.
func parseRow(line string, sizes int) (Row, bool) {
	fields := strings.Fields(line)
	start := 0
	for start < len(fields) && !pairStartsAt(fields, start) {
		start++
	}
	row := Row{
		Name: strings.Join(fields[:start], " "),
	}
	for i := start; i+2 < len(fields) && len(row.Measurements) < sizes; i += 3 {
		middle, err := strconv.ParseFloat(fields[i], 64)
		if err != nil || fields[i+1] != strings.TrimSpace(pairSeparator) {
			return Row{}, false
		}
		greatest, err := strconv.ParseFloat(fields[i+2], 64)
		if err != nil {
			return Row{}, false
		}
		row.Measurements = append(row.Measurements, Measurement{
			Middle:   middle,
			Greatest: greatest,
		})
	}
	return row, len(row.Measurements) == sizes
}

// pairStartsAt reports whether a pair of values begins at field i.
func pairStartsAt(fields []string, i int) bool {
	_, err := strconv.ParseFloat(fields[i], 64)
	return err == nil && i+1 < len(fields) && fields[i+1] == strings.TrimSpace(pairSeparator)
}

// GrowthExponent returns the power of the size with which the greatest values grow,
// by least squares on logarithms over all sizes. ok is false if a value isn't
// positive or there are fewer than two sizes.
func (t *Table) GrowthExponent(row Row) (exponent float64, ok bool) {
	var n, sumX, sumY, sumXX, sumXY float64
	for i, measurement := range row.Measurements {
		if measurement.Greatest <= 0 {
			return 0, false
		}
		// Relative to the first size, so that equal values have a power of exactly 0,
		// however a processor rounds.
		x := math.Log(float64(t.Sizes[i]) / float64(t.Sizes[0]))
		y := math.Log(measurement.Greatest / row.Measurements[0].Greatest)
		n++
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	if n < 2 {
		return 0, false
	}
	return (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX), true
}

// Extrapolate extrapolates the greatest value of the last size to another size.
func (t *Table) Extrapolate(row Row, size int) (float64, bool) {
	exponent, ok := t.GrowthExponent(row)
	if !ok {
		return 0, false
	}
	last := len(t.Sizes) - 1
	return row.Measurements[last].Greatest * math.Pow(float64(size)/float64(t.Sizes[last]), exponent), true
}
