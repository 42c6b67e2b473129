package zfsweep_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"zinniafront/lab/zfassert"
	"zinniafront/lab/zfsweep"
)

const sweepDigest = `sweep-30              30/300   0.91  0.915  0.974   0.000  0.012  worst windows 0.90
middle / busiest or longest, by own machines
                                                          30             100             300  power  at 928
entry: memory MB                                 12.0 / 30.0     15.0 / 100     25.0 / 300   1.00  928
entry: connections                                 2.0 / 2.0       2.0 / 2.0       2.0 / 2.0    0.0  2.0
config in force, ms                              0.00 / 0.00     0.00 / 213     9978 / 17126  2.51  100
power: the busiest grows as machines to this power
`

func readDigest(t testing.TB, digest string) (*zfsweep.Table, error) {
	t.Helper()
	document, err := json.Marshal(map[string]string{
		"digest": digest,
	})
	zfassert.NoError(t, err)
	return zfsweep.Read(document)
}

func TestTable(t *testing.T) {
	table, err := readDigest(t, sweepDigest)
	zfassert.NoError(t, err)
	t.Run("all rows are read", func(t *testing.T) {
		zfassert.Equal(t, "sizes", table.Sizes, []int{30, 100, 300})
		zfassert.Equal(t, "rows", len(table.Rows), 3)
		zfassert.Equal(t, "name", table.Rows[2].Name, "config in force, ms")
		zfassert.Equal(t, "figures", table.Rows[2].Measurements[2], zfsweep.Measurement{
			Middle:   9978,
			Greatest: 17126,
		})
	})
	for _, c := range []struct {
		name         string
		row          int
		fits         bool
		exponent     string
		extrapolated string
	}{
		{
			name:         "growing values are extrapolated",
			row:          0,
			fits:         true,
			exponent:     "1.00",
			extrapolated: "930.0",
		},
		{
			name:         "constant values stay constant",
			row:          1,
			fits:         true,
			exponent:     "0.00",
			extrapolated: "2.0",
		},
		{
			name:         "a zero can't be fitted",
			row:          2,
			exponent:     "0.00",
			extrapolated: "0.0",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			exponent, ok := table.GrowthExponent(table.Rows[c.row])
			zfassert.Equal(t, "fits", ok, c.fits)
			zfassert.Equal(t, "power", fmt.Sprintf("%.2f", exponent), c.exponent)
			extrapolated, _ := table.Extrapolate(table.Rows[c.row], 930)
			zfassert.Equal(t, "extrapolated value", fmt.Sprintf("%.1f", extrapolated), c.extrapolated)
		})
	}
	t.Run("an entry without a sweep table is refused", func(t *testing.T) {
		_, err := readDigest(t, "quiet-1  12/18  0.71")
		zfassert.ErrorIs(t, err, zfsweep.ErrNoTable)
	})
}
