package zfadmission_test

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfadmission"
	"zinniafront/lab/zfassert"
)

// limited returns an admission with a limit of the service orders.
func limited(share float64) *zfadmission.Callers {
	callers := zfadmission.NewCallers(zfadmission.Config{})
	callers.Tick(start, limits(share))
	return callers
}

func limits(share float64) []zf.AdmissionLimit {
	return []zf.AdmissionLimit{{
		Service: "orders",
		Share:   share,
	}}
}

// opening returns an opening packet of a caller.
func opening(caller int, hash uint64, retransmissions int) zf.Opening {
	return zf.Opening{
		Flow: zf.Flow{
			Source: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(caller >> 8), byte(caller)}), 1000),
		},
		Service:         "orders",
		Hash:            hash,
		Retransmissions: retransmissions,
	}
}

// admitted returns the share of first openings of many callers that are admitted.
func admitted(callers *zfadmission.Callers, now time.Time) float64 {
	random := rand.New(rand.NewPCG(3, 4))
	count := 0
	for i := range 1000 {
		if callers.Admit(opening(i, random.Uint64(), 0), now) {
			count++
		}
	}
	return float64(count) / 1000
}

func assertAdmitted(t testing.TB, callers *zfadmission.Callers, now time.Time, low, high float64) {
	t.Helper()
	share := admitted(callers, now)
	assertAtLeast(t, "share admitted", share, low)
	zfassert.AtMost(t, "share admitted", share, high)
}

func TestCopies(t *testing.T) {
	callers := limited(0.5)
	random := rand.New(rand.NewPCG(5, 6))
	for i := range 500 {
		hash := random.Uint64()
		want := callers.Admit(opening(i, hash, 0), start)
		callers.Tick(start.Add(time.Duration(i)*time.Second), limits(0.05))
		for retransmissions := 1; retransmissions <= 2; retransmissions++ {
			zfassert.Equal(t, "copy admitted", callers.Admit(opening(i, hash, retransmissions), start), want)
		}
	}
	t.Run("a copy whose first packet another instance forwarded is admitted", func(t *testing.T) {
		zfassert.True(t, "admitted", callers.Admit(opening(1, random.Uint64(), 1), start))
	})
}

func TestRetries(t *testing.T) {
	callers := limited(0.3)
	random := rand.New(rand.NewPCG(7, 8))
	admitted, retriesAdmitted := 0.0, 0.0
	for i := range 20000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		if i%100 == 0 {
			callers.Tick(now, limits(0.3))
		}
		for try := range tries {
			if !callers.Admit(opening(i%200, random.Uint64(), 0), now) {
				continue
			}
			admitted++
			if try > 0 {
				retriesAdmitted++
			}
			break
		}
	}
	zfassert.AtMost(t, "retries as a share of the admitted flows", retriesAdmitted/admitted, 0.15)
}

// TestFreedRows replays retries of callers after rows of others were removed.
func TestFreedRows(t *testing.T) {
	callers := limited(0.1)
	random := rand.New(rand.NewPCG(11, 12))
	const others, busy = 2000, 100
	send := func(from, count, openings int, now time.Time) (refused int64) {
		for i := range count * openings {
			if !callers.Admit(opening(from+i/openings, random.Uint64(), 0), now) {
				refused++
			}
		}
		return refused
	}
	send(0, others, 1, start)
	send(others, busy, 20, start)
	retried := callers.Counts()[0].Retried
	refused := send(others, busy, 1, start.Add(8900*time.Millisecond))
	callers.Tick(start.Add(9100*time.Millisecond), limits(0.1))
	send(others, busy, 1, start.Add(9200*time.Millisecond))
	zfassert.True(t, "some are refused", refused > 0)
	zfassert.Equal(t, "retries", callers.Counts()[0].Retried-retried, refused)
}

func TestLimitMessages(t *testing.T) {
	callers := limited(0.2)
	t.Run("a limit that comes twice changes nothing", func(t *testing.T) {
		callers.Tick(start, limits(0.2))
		assertAdmitted(t, callers, start, 0.15, 0.25)
	})
	t.Run("a later limit replaces it", func(t *testing.T) {
		callers.Tick(start, limits(0.9))
		assertAdmitted(t, callers, start, 0.8, 1)
	})
	t.Run("without limits all are admitted", func(t *testing.T) {
		callers.Tick(start, nil)
		assertAdmitted(t, callers, start, 1, 1)
	})
	t.Run("limits that come late apply at once", func(t *testing.T) {
		callers.Tick(start.Add(time.Minute), limits(0.2))
		assertAdmitted(t, callers, start.Add(time.Minute), 0.15, 0.25)
	})
}

func TestTrafficGoroutines(t *testing.T) {
	callers := limited(0.5)
	var traffic sync.WaitGroup
	for g := range 4 {
		traffic.Go(func() {
			for i := range 5000 {
				callers.Admit(opening(i%50, uint64(g*5000+i), i%3), start)
			}
		})
	}
	for i := range 50 {
		callers.Tick(start.Add(time.Duration(i)*time.Second), limits(0.5)[:i%2])
	}
	traffic.Wait()
	for _, count := range callers.Counts() {
		zfassert.AtMost(t, "openings counted", float64(count.Admitted+count.Refused), 20000)
	}
}

func TestAllocations(t *testing.T) {
	callers := limited(0.5)
	o := opening(1, 1, 0)
	zfassert.Equal(t, "allocations", testing.AllocsPerRun(100, func() { callers.Admit(o, start) }), 0.0)
}

func BenchmarkAdmit(b *testing.B) {
	for _, c := range []struct {
		name    string
		callers *zfadmission.Callers
	}{
		{
			name:    "without a limit",
			callers: zfadmission.NewCallers(zfadmission.Config{}),
		},
		{
			name:    "with a limit",
			callers: limited(0.5),
		},
	} {
		b.Run(c.name, func(b *testing.B) {
			openings := make([]zf.Opening, 1024)
			for i := range openings {
				openings[i] = opening(i, uint64(i)<<40, 0)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.callers.Admit(openings[i%len(openings)], start)
			}
		})
	}
}
