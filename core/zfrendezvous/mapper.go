// Package zfrendezvous maps flows to backend servers by rendezvous hashing
// alone. It is the first baseline that lab/zfcompare compares with: it needs no
// messages, and breaks flows at every change of the backend servers.
package zfrendezvous

import (
	"encoding/binary"
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/zeebo/xxh3"

	zf "zinniafront"
	"zinniafront/core/zfflow"
)

// bucketCount is the number of buckets that the flows of a service are divided
// into, a power of two.
const bucketCount = 4096

// Config holds the constants of a mapper.
type Config struct {
	// Seed is the secret seed of the flow hash, equal at all instances.
	Seed uint64
}

// Mapper implements zinniafront.Mapper.
type Mapper struct {
	config    Config
	revision  uint64
	published atomic.Pointer[snapshot]
}

type serviceKey struct {
	address  netip.AddrPort
	protocol zf.Protocol
}

type snapshot struct {
	services map[serviceKey][]*zf.ServerView
}

// New returns a mapper without tables.
func New(config Config) *Mapper {
	return &Mapper{
		config: config,
	}
}

// Lookup returns the backend server of a flow, or nil and the reason.
func (m *Mapper) Lookup(flow zf.Flow) (*zf.ServerView, zf.Reason) {
	s := m.published.Load()
	if s == nil {
		return nil, zf.ReasonNotReady
	}
	buckets, ok := s.services[serviceKey{
		address:  flow.Destination,
		protocol: flow.Protocol,
	}]
	if !ok {
		return nil, zf.ReasonUnknownService
	}
	server := buckets[zfflow.Hash(m.config.Seed, flow)&(bucketCount-1)]
	if server == nil {
		return nil, zf.ReasonNoServer
	}
	return server, zf.ReasonNone
}

// Route implements zinniafront.Mapper.
func (m *Mapper) Route(packet zf.Packet, _ time.Time) zf.Verdict {
	server, reason := m.Lookup(packet.Flow)
	if server == nil {
		return zf.Verdict{
			Action: zf.ActionDrop,
			Server: zf.NoServer,
			Reason: reason,
		}
	}
	return zf.Verdict{
		Action: zf.ActionForward,
		To:     server.Address,
		Server: server.ID,
	}
}

// Tick implements zinniafront.Mapper.
func (m *Mapper) Tick(_ time.Time, view zf.View) []zf.Envelope {
	if m.published.Load() != nil && view.Revision == m.revision {
		return nil
	}
	m.revision = view.Revision
	next := &snapshot{
		services: make(map[serviceKey][]*zf.ServerView),
	}
	for _, service := range view.Services {
		buckets := bucketsOf(service.Name, view.Servers)
		for _, address := range service.Addresses {
			next.services[serviceKey{
				address:  address,
				protocol: service.Protocol,
			}] = buckets
		}
	}
	m.published.Store(next)
	return nil
}

// bucketsOf assigns each bucket to the server with the highest weighted score.
func bucketsOf(service zf.ServiceName, servers []zf.ServerView) []*zf.ServerView {
	buckets := make([]*zf.ServerView, bucketCount)
	for b := range buckets {
		best := math.Inf(-1)
		for i := range servers {
			server := &servers[i]
			if server.Service != service || server.Weight <= 0 || !server.Allowed {
				continue
			}
			if score := scoreOf(server, b); score > best {
				best = score
				buckets[b] = server
			}
		}
	}
	return buckets
}

func scoreOf(server *zf.ServerView, bucket int) float64 {
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], uint64(bucket))
	hash := xxh3.HashSeed(key[:], xxh3.HashString(string(server.Name)))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -server.Weight / math.Log(uniform)
}

// Receive implements zinniafront.Mapper.
func (m *Mapper) Receive(zf.InstanceName, zf.Message, time.Time) {}

// Digests implements zinniafront.Mapper.
func (m *Mapper) Digests() []zf.SlotDigest { return nil }

// Synced implements zinniafront.Mapper.
func (m *Mapper) Synced() bool { return m.published.Load() != nil }

// Busy implements zinniafront.Mapper.
func (m *Mapper) Busy() bool { return false }

// Stats implements zinniafront.Mapper.
func (m *Mapper) Stats() zf.MapperStats { return zf.MapperStats{} }
