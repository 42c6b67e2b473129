package zfsweep

import (
	"io"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4.5 * vg.Inch
)

// PlotConfig configures a plot.
type PlotConfig struct {
	Table *Table
	// Names are the rows to draw.
	Names []string
	// Size is the size that the rows are extrapolated to.
	Size int
	// Format is the image format, for instance svg.
	Format string
}

// Plot draws the greatest values of rows by size, on logarithmic axes, and their
// extrapolation.
func Plot(w io.Writer, config PlotConfig) error {
	p := plot.New()
	p.Title.Text = "Busiest instance by size; the last points are extrapolated"
	p.X.Label.Text = "instances of the system"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{}, plot.LogTicks{}
	p.Legend.Top = true
	p.Legend.Left = true
	lines := make([]any, 0, 2*len(config.Names))
	for _, row := range config.Table.Rows {
		if points := config.points(row); points != nil {
			lines = append(lines, row.Name, points)
		}
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return errors.Wrap(err, "draw rows")
	}
	picture, err := p.WriterTo(plotWidth, plotHeight, config.Format)
	if err != nil {
		return errors.Wrap(err, "draw plot")
	}
	_, err = picture.WriteTo(w)
	return errors.Wrap(err, "write plot")
}

// points returns the points of a row, or nil if the row is not drawn.
func (c PlotConfig) points(row Row) plotter.XYs {
	for _, name := range c.Names {
		extrapolated, ok := c.Table.Extrapolate(row, c.Size)
		if name != row.Name || !ok {
			continue
		}
		points := make(plotter.XYs, 0, len(row.Measurements)+1)
		for i, measurement := range row.Measurements {
			points = append(points, plotter.XY{
				X: float64(c.Table.Sizes[i]),
				Y: measurement.Greatest,
			})
		}
		return append(points, plotter.XY{
			X: float64(c.Size),
			Y: extrapolated,
		})
	}
	return nil
}
