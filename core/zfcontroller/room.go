package zfcontroller

import (
	"slices"
	"time"

	zf "zinniafront"
)

// Rooms returns the rooms of the services in the own data centre. What the backend
// servers sustain is not known yet.
func (w *World) Rooms(time.Time) []zf.ServiceRoom {
	own := w.replica.Self().Centre
	var rooms []zf.ServiceRoom
	for _, row := range w.registry.Rows() {
		if row.Centre != own || row.Status != zf.ServerWarm && row.Status != zf.ServerCold || !row.SuspectUntil.IsZero() {
			continue
		}
		i := slices.IndexFunc(rooms, func(room zf.ServiceRoom) bool { return room.Service == row.Service })
		if i < 0 {
			i = len(rooms)
			rooms = append(rooms, zf.ServiceRoom{
				Service: row.Service,
				Centre:  own,
			})
		}
		rooms[i].Servers++
	}
	return rooms
}
