package zflabcmd

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"zinniafront/io/command/zfcmd"
	"zinniafront/lab/zfsweep"
)

// CapacityOptions are the flags of capacity.
type CapacityOptions struct {
	Journal string   `name:"journal" required:"" help:"Journal entry of a sweep."`
	Size    int      `name:"size" default:"930" help:"Number of instances that measurements are extrapolated to."`
	Plot    string   `name:"plot" help:"Plot the rows to this file, for instance capacity.svg."`
	Rows    []string `name:"row" default:"entry: processor %,entry: memory MB,entry: kB a second,keeper: processor %,keeper: memory MB,keeper: kB a second" help:"Row to draw; may be given several times."`

	streams zfcmd.Streams
}

// Run runs the command.
func (o *CapacityOptions) Run(f *zfcmd.Factory) error {
	o.streams = f.Streams
	return capacityRun(o)
}

func capacityRun(o *CapacityOptions) error {
	document, err := os.ReadFile(o.Journal)
	if err != nil {
		return errors.Wrap(err, "read journal entry")
	}
	table, err := zfsweep.Read(document)
	if err != nil {
		return errors.Wrap(err, o.Journal)
	}
	o.streams.Printf("%s", formatCapacity(table, o.Size))
	if o.Plot == "" {
		return nil
	}
	file, err := os.Create(o.Plot)
	if err != nil {
		return errors.Wrap(err, "create plot")
	}
	defer file.Close()
	return zfsweep.Plot(file, zfsweep.PlotConfig{
		Table:  table,
		Names:  o.Rows,
		Size:   o.Size,
		Format: strings.TrimPrefix(filepath.Ext(o.Plot), "."),
	})
}

// formatCapacity returns the measurements as a Markdown table: the middle and the
// greatest value at each size, the growth exponent, and the extrapolated value.
func formatCapacity(table *zfsweep.Table, size int) string {
	var text strings.Builder
	text.WriteString("| What |")
	for _, s := range table.Sizes {
		fmt.Fprintf(&text, " %d |", s)
	}
	fmt.Fprintf(&text, " power | at %d |\n|---|%s---|---|\n", size, strings.Repeat("---|", len(table.Sizes)))
	for _, row := range table.Rows {
		fmt.Fprintf(&text, "| %s |", row.Name)
		for _, measurement := range row.Measurements {
			fmt.Fprintf(&text, " %.4g / %.4g |", measurement.Middle, measurement.Greatest)
		}
		exponent, ok := table.GrowthExponent(row)
		extrapolated, _ := table.Extrapolate(row, size)
		if !ok {
			text.WriteString(" | |\n")
			continue
		}
		fmt.Fprintf(&text, " %.2f | %.4g |\n", exponent, extrapolated)
	}
	return text.String()
}
