package zfresource_test

import (
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfresource"
	"zinniafront/lab/zfassert"
)

const interval = 200 * time.Millisecond

var start = time.Unix(1_700_000_000, 0)

func linkUse(use float64) []zf.ResourceUse {
	return []zf.ResourceUse{{
		Resource: zf.ResourceLink,
		Use:      use,
	}}
}

func steady(use float64) func(int) float64 { return func(int) float64 { return use } }

// peaks returns low use with a peak in every nth measurement and the width-1 after it.
func peaks(peak float64, n, width int) func(int) float64 {
	return func(i int) float64 {
		if i%n < width {
			return peak
		}
		return 0.3
	}
}

func TestStrain(t *testing.T) {
	for _, c := range []struct {
		name string
		use  func(i int) float64
		// late is added to the interval of measurements.
		late time.Duration
		// want is the strain at the end, changes is the number of its changes.
		want    zf.Strain
		changes int
	}{
		{
			name: "moments of full use",
			use:  peaks(1, 50, 5),
		},
		{
			name: "suspensions and the late ticks after them",
			use:  peaks(50, 25, 1),
		},
		{
			name:    "a processor at nine tenths",
			use:     steady(0.9),
			want:    zf.StrainShort,
			changes: 1,
		},
		{
			name:    "a link at 120 %",
			use:     steady(1.2),
			want:    zf.StrainOverloaded,
			changes: 2,
		},
		{
			name:    "use that swings about a bound",
			use:     peaks(1.2, 30, 20),
			want:    zf.StrainOverloaded,
			changes: 2,
		},
		{
			name:    "a load that ends",
			use:     peaks(1.2, 150, 50),
			changes: 4,
		},
		{
			name:    "an instance so slow that each measurement is late",
			use:     steady(6),
			late:    time.Second,
			want:    zf.StrainOverloaded,
			changes: 1,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, now, strain, changes := zfresource.New(), start, zf.StrainNone, 0
			for i := range 150 {
				now = now.Add(interval + c.late)
				before := strain
				strain = table.Tick(now, linkUse(c.use(i)))
				if strain != before {
					changes++
				}
			}
			zfassert.Equal(t, "strain", strain, c.want)
			zfassert.Equal(t, "changes", changes, c.changes)
		})
	}
}

// assertAdmitted checks how many callers of 1,000 get one of three transmissions of an
// opening packet through, and that packets of open flows are always admitted.
func assertAdmitted(t testing.TB, shedder *zfresource.Shedder, least, most int) {
	t.Helper()
	admitted := 0
	for port := range uint16(1000) {
		packet := zf.Packet{
			Flow: zf.Flow{
				Source:      netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), port),
				Destination: netip.MustParseAddrPort("198.51.100.1:443"),
			},
		}
		zfassert.True(t, "packet of an open flow", shedder.Admit(packet))
		packet.Kind = zf.PacketOpening
		for ; packet.Retransmissions < 3; packet.Retransmissions++ {
			if shedder.Admit(packet) {
				admitted++
				break
			}
		}
	}
	zfassert.True(t, "callers that get through", admitted >= least && admitted <= most)
}

func TestShedder(t *testing.T) {
	var shedder zfresource.Shedder
	now := start
	for _, c := range []struct {
		name        string
		strain      zf.Strain
		use         float64
		least, most int
	}{
		{
			name:   "a moment of full use drops nothing",
			strain: zf.StrainShort,
			use:    1.5,
			least:  1000,
			most:   1000,
		},
		{
			name:   "a link at 120 % drops openings",
			strain: zf.StrainOverloaded,
			use:    1.2,
			least:  820,
			most:   930,
		},
		{
			name:   "only as many as it takes",
			strain: zf.StrainOverloaded,
			use:    0.7,
			least:  1000,
			most:   1000,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			for range 50 {
				now = now.Add(interval)
				shedder.Tick(now, c.strain, linkUse(c.use))
			}
			assertAdmitted(t, &shedder, c.least, c.most)
		})
	}
}
