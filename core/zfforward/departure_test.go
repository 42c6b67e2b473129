package zfforward_test

import (
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfforward"
	"zinniafront/core/zfregistry"
	"zinniafront/lab/zfassert"
)

// observedMapper records the departures of the last view.
type observedMapper struct {
	zf.Mapper
	zf.Observer
	departures []zf.Departure
	revision   uint64
}

func (m *observedMapper) Tick(_ time.Time, view zf.View) []zf.Envelope {
	m.departures, m.revision = view.Departures, view.Revision
	return nil
}

func (m *observedMapper) SetTotalLoads([]zf.ServerLoad, time.Time) {}

func (m *observedMapper) Synced() bool { return true }

func newDepartingWorld(leaving bool) (*zfforward.World, *observedMapper) {
	mapper := &observedMapper{}
	return zfforward.New(zfforward.Config{
		Centre:   "one",
		Mapper:   mapper,
		Observer: mapper,
		Registry: zfregistry.DefaultConfig(1, time.Second),
		Leaving:  leaving,
	}), mapper
}

// departingReply returns a reply with total loads, and with departures for the services.
func departingReply(services ...zf.ServiceName) zfforward.Reply {
	reply := zfforward.Reply{
		Loads: []zf.ServerLoad{},
		State: state(1, "orders"),
	}
	for _, service := range services {
		reply.Departures = append(reply.Departures, zf.Departure{
			Service: service,
		})
	}
	return reply
}

func TestDepartures(t *testing.T) {
	world, mapper := newDepartingWorld(true)
	world.ApplyReply(departingReply("orders"), start)
	t.Run("apply", func(t *testing.T) { zfassert.Equal(t, "departures", len(mapper.departures), 1) })
	t.Run("the same ones change no view", func(t *testing.T) {
		revision := mapper.revision
		world.ApplyReply(departingReply("orders"), start)
		zfassert.Equal(t, "revision", mapper.revision, revision)
	})
	t.Run("remain without loads in a reply", func(t *testing.T) {
		world.ApplyReply(zfforward.Reply{}, start.Add(time.Second))
		zfassert.Equal(t, "departures", len(mapper.departures), 1)
	})
	t.Run("expire without replies", func(t *testing.T) {
		world.Tick(start.Add(5 * time.Second))
		zfassert.Equal(t, "departures", len(mapper.departures), 0)
	})
	t.Run("are replaced", func(t *testing.T) {
		world.ApplyReply(departingReply("orders", "proofs"), start.Add(5*time.Second))
		world.ApplyReply(departingReply(), start.Add(5*time.Second))
		zfassert.Equal(t, "departures", len(mapper.departures), 0)
	})
	t.Run("don't apply without the setting", func(t *testing.T) {
		world, mapper := newDepartingWorld(false)
		world.ApplyReply(departingReply("orders"), start)
		zfassert.Equal(t, "departures", len(mapper.departures), 0)
	})
}
