package zfoutlier_test

import (
	"fmt"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfoutlier"
	"zinniafront/lab/zfassert"
)

var start = time.Unix(1_700_000_000, 0)

func name(n int) zf.ServerName { return zf.ServerName(fmt.Sprintf("s%02d", n)) }

// service returns the backend servers of a service of the given size.
func service(size int) []zfoutlier.Server {
	servers := make([]zfoutlier.Server, 0, size)
	for n := range size {
		servers = append(servers, zfoutlier.Server{
			Name:    name(n),
			Born:    start,
			Service: "orders",
		})
	}
	return servers
}

func outcome(n, answered, unanswered int) zf.Outcome {
	return zf.Outcome{
		Server:     name(n),
		Born:       start,
		Answered:   answered,
		Unanswered: unanswered,
	}
}

func names(outliers []zfoutlier.Outlier) []zf.ServerName {
	found := make([]zf.ServerName, 0, len(outliers))
	for _, outlier := range outliers {
		found = append(found, outlier.Server)
	}
	return found
}

func TestOutliers(t *testing.T) {
	overload := make([]zf.Outcome, 0, 12)
	for n := range 12 {
		overload = append(overload, outcome(n, 20, 8+n%3))
	}
	for _, c := range []struct {
		name     string
		size     int
		outcomes []zf.Outcome
		want     []zf.ServerName
	}{
		{
			name:     "a server that leaves four of ten unanswered is an outlier",
			size:     12,
			outcomes: []zf.Outcome{outcome(3, 6, 4)},
			want:     []zf.ServerName{name(3)},
		},
		{
			name:     "two unanswered requests are too few",
			size:     12,
			outcomes: []zf.Outcome{outcome(3, 0, 2)},
			want:     []zf.ServerName{},
		},
		{
			name:     "a low unanswered rate is no outlier",
			size:     12,
			outcomes: []zf.Outcome{outcome(3, 60, 5)},
			want:     []zf.ServerName{},
		},
		{
			name:     "an overload of all servers makes none an outlier",
			size:     12,
			outcomes: overload,
			want:     []zf.ServerName{},
		},
		{
			name:     "a fifth of a service are outliers at once",
			size:     20,
			outcomes: []zf.Outcome{outcome(1, 6, 4), outcome(2, 6, 4), outcome(3, 6, 4), outcome(4, 6, 4)},
			want:     []zf.ServerName{name(1), name(2), name(3), name(4)},
		},
		{
			name:     "at most a quarter are outliers, highest rate first",
			size:     8,
			outcomes: []zf.Outcome{outcome(1, 6, 4), outcome(2, 1, 9), outcome(3, 2, 8)},
			want:     []zf.ServerName{name(2), name(3)},
		},
		{
			name:     "the only server of a service is never an outlier",
			size:     1,
			outcomes: []zf.Outcome{outcome(0, 0, 20)},
			want:     []zf.ServerName{},
		},
		{
			name:     "a server that takes no new flows is not evaluated",
			size:     3,
			outcomes: []zf.Outcome{outcome(7, 0, 20)},
			want:     []zf.ServerName{},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := zfoutlier.New(zfoutlier.DefaultConfig())
			table.Record(c.outcomes, start)
			zfassert.Equal(t, "outliers", names(table.Tick(service(c.size), start)), c.want)
		})
	}
}

func TestSuspectTime(t *testing.T) {
	config := zfoutlier.DefaultConfig()
	table := zfoutlier.New(config)
	table.Record([]zf.Outcome{outcome(3, 2, 8)}, start)
	countOutliers := func(after time.Duration) int { return len(table.Tick(service(12), start.Add(after))) }
	t.Run("an outlier is returned once", func(t *testing.T) {
		zfassert.Equal(t, "verdicts", countOutliers(0), 1)
		zfassert.Equal(t, "verdicts", countOutliers(time.Second), 0)
	})
	t.Run("it is returned again while its counts exceed the thresholds", func(t *testing.T) {
		zfassert.Equal(t, "verdicts", countOutliers(config.SuspectTime), 1)
	})
	t.Run("it recovers without further unanswered requests", func(t *testing.T) {
		zfassert.Equal(t, "verdicts", countOutliers(3*config.SuspectTime), 0)
	})
	t.Run("its row is removed once the counts have decayed", func(t *testing.T) {
		countOutliers(time.Minute)
		zfassert.True(t, "no rows left", !table.HasRows())
	})
}

// TestPacketLoss checks that healthy backend servers which leave one request in two
// hundred unanswered are not found to be outliers.
func TestPacketLoss(t *testing.T) {
	table := zfoutlier.New(zfoutlier.DefaultConfig())
	count := 0
	for second := range 600 {
		now := start.Add(time.Duration(second) * time.Second)
		for n := range 14 {
			if (second*14+n)%10 == 0 {
				table.Record([]zf.Outcome{outcome(n, 20, 1)}, now)
			}
		}
		count += len(table.Tick(service(14), now))
	}
	zfassert.Equal(t, "verdicts", count, 0)
}
