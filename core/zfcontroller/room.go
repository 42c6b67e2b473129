package zfcontroller

import (
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/core/zfroom"
)

// roomInterval is the minimum time between two updates of the room from the loads, which
// are sums over seconds.
const roomInterval = 250 * time.Millisecond

// room holds the table of what backend servers can take. It is updated when it is used.
type room struct {
	table *zfroom.Table
	// rooms are those of the table as last updated.
	rooms   []zf.ServiceRoom
	updated time.Time
	// revision and index are those of the registry and the control state in the table.
	revision uint64
	index    uint64
}

func newRoom() room {
	return room{
		table: zfroom.New(zfroom.Config{
			CookieOf: zfcookie.CookieOf,
		}),
	}
}

// Rooms returns the room of each service in each data centre, for the requests of the
// callers of this one.
func (w *World) Rooms(now time.Time) []zf.ServiceRoom {
	r := &w.room
	if age := now.Sub(r.updated); age >= 0 && age < roomInterval {
		return r.rooms
	}
	index, state := w.CommittedState()
	if revision := w.registry.ContentRevision(); r.updated.IsZero() || revision != r.revision || index != r.index {
		r.revision = revision
		r.index = index
		r.table.SetServers(w.registry.View(CentresOut(state)))
	}
	r.updated = now
	r.table.SetLoads(w.TotalLoads(now), now)
	r.rooms = r.table.Rooms(now)
	return r.rooms
}

// ServiceTime returns the mean time that a request occupies a slot of a service's backend
// servers, as of the last call of Rooms.
func (w *World) ServiceTime(service zf.ServiceName) time.Duration {
	return w.room.table.ServiceTime(service)
}
