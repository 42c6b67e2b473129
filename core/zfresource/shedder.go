package zfresource

import (
	"math"
	"sync/atomic"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfflow"
)

const (
	// shedSeed is the seed of the hash by which opening packets are dropped, which must
	// not depend on the one that spreads flows over backend servers.
	shedSeed = 0x5d0e
	// shedInterval is the time between two changes of the share that is dropped, shedStep
	// the change.
	shedInterval = 200 * time.Millisecond
	shedStep     = 0.05
	// maxShed bounds the share: of three transmissions of an opening packet, seven of eight
	// callers then still get one through.
	maxShed = 0.5
)

// Shedder drops a share of the opening packets while an instance is overloaded: as many as
// it takes until the use of the instance's resources falls below their limits. A caller
// sends the packet again after 200 and 600 ms. Packets of open flows are never dropped.
type Shedder struct {
	// share is the share of opening packets that are dropped, as a bound for the upper half
	// of their hashes.
	share   atomic.Uint32
	changed time.Time
}

// Tick adjusts the share on the control goroutine. Without an overload it falls to 0.
func (s *Shedder) Tick(now time.Time, strain zf.Strain, uses []zf.ResourceUse) {
	if now.Sub(s.changed) < shedInterval {
		return
	}
	s.changed = now
	peak := 0.0
	for _, use := range uses {
		peak = max(peak, use.Use)
	}
	share := s.Share()
	switch {
	case strain != zf.StrainOverloaded || peak < overloadedThreshold.leave:
		share = max(share-shedStep, 0)
	case peak >= overloadedThreshold.enter:
		share = min(share+shedStep, maxShed)
	}
	s.share.Store(uint32(share * math.MaxUint32))
}

// Share returns the share of opening packets that are dropped.
func (s *Shedder) Share() float64 { return float64(s.share.Load()) / math.MaxUint32 }

// Admit reports whether a packet may be forwarded. Each transmission of an opening packet
// has a chance of its own. It is safe for concurrent use.
func (s *Shedder) Admit(packet zf.Packet) bool {
	share := s.share.Load()
	if share == 0 || packet.Kind != zf.PacketOpening {
		return true
	}
	hash := zfflow.Hash(shedSeed+uint64(packet.Retransmissions), packet.Flow)
	return uint32(hash>>32) >= share
}
