// Package zfsweep reads the table of a sweep over deployment sizes and carries its
// figures on to the size that is planned for.
package zfsweep

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrNoTable tells that a journal entry holds no table of a sweep.
var ErrNoTable = errors.New("no table of a sweep")

// Measurement is the middle and the greatest value over the machines of a role.
type Measurement struct {
	Middle   float64
	Greatest float64
}

// Row is one measured quantity at each size.
type Row struct {
	Name         string
	Measurements []Measurement
}

// Table is what a sweep measured.
type Table struct {
	// Sizes are the numbers of machines of the system.
	Sizes []int
	Rows  []Row
}

// journalEntry is the part of a journal entry that is read here.
type journalEntry struct {
	// Digest is the sweep's report as it was printed.
	Digest string `json:"digest"`
}

// pairSeparator stands between the middle and the greatest value.
const pairSeparator = " / "

// Read reads the table of a journal entry.
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

// parseHeader returns the sizes of a table's head, which ends with the power and the
// size that figures are carried on to.
func parseHeader(line string) []int {
	sizes, _, found := strings.Cut(line, "power")
	if !found || strings.TrimSpace(sizes) == "" {
		return nil
	}
	var header []int
	for _, field := range strings.Fields(sizes) {
		size, err := strconv.Atoi(field)
		if err != nil {
			return nil // The word stands in another line.
		}
		header = append(header, size)
	}
	return header
}

// parseRow reads a row: its name, then a pair for each size.
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

// pairStartsAt reports whether a pair of figures begins at a field.
func pairStartsAt(fields []string, i int) bool {
	_, err := strconv.ParseFloat(fields[i], 64)
	return err == nil && i+1 < len(fields) && fields[i+1] == strings.TrimSpace(pairSeparator)
}

// GrowthExponent returns the power of the size with which the greatest values grow, by least
// squares over all sizes; ok is false where there is nothing to fit.
func (t *Table) GrowthExponent(row Row) (exponent float64, ok bool) {
	var n, sumX, sumY, sumXX, sumXY float64
	for i, measurement := range row.Measurements {
		if measurement.Greatest <= 0 {
			return 0, false
		}
		x, y := math.Log(float64(t.Sizes[i])), math.Log(measurement.Greatest)
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

// Extrapolate carries the greatest value of the last size on to another size.
func (t *Table) Extrapolate(row Row, size int) (float64, bool) {
	exponent, ok := t.GrowthExponent(row)
	if !ok {
		return 0, false
	}
	last := len(t.Sizes) - 1
	return row.Measurements[last].Greatest * math.Pow(float64(size)/float64(t.Sizes[last]), exponent), true
}
