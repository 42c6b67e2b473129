package zfcontroller

import (
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/core/zfdeparture"
	"zinniafront/core/zfload"
)

// figureInterval is the time between two measurements of the own data centre's figures.
const figureInterval = 500 * time.Millisecond

// place is a service in a data centre.
type place struct {
	service zf.ServiceName
	centre  zf.CentreName
}

// departures holds what the decisions on departures need.
type departures struct {
	// table is nil if data centres exchange no figures.
	table       *zfdeparture.Table
	lastFigures time.Time
	// places are those of the backend servers by cookie, as of placesRevision of the
	// registry.
	places         map[zf.Cookie]place
	placesRevision uint64
}

// decideDepartures decides which share of the new flows leaves the own data centre.
func (w *World) decideDepartures(now time.Time) {
	if w.departures.table == nil || now.Sub(w.departures.lastFigures) < figureInterval {
		return
	}
	w.departures.lastFigures = now
	_, state := w.CommittedState()
	w.departures.table.Tick(now, w.figures(now), CentresOut(state))
}

// figures returns the rooms of the own data centre, and the demand that its callers send
// to each data centre.
func (w *World) figures(now time.Time) []zf.ServiceRoom {
	own := w.replica.Self().Centre
	demand := w.demand(now)
	rooms := make(map[zf.ServiceName]zf.ServiceRoom)
	for _, room := range w.Rooms(now) {
		if room.Centre == own {
			rooms[room.Service] = room
		}
	}
	var figures []zf.ServiceRoom
	for at, rate := range demand {
		if _, served := rooms[at.service]; !served {
			rooms[at.service] = zf.ServiceRoom{
				Service: at.service,
				Centre:  own,
			}
		}
		if at.centre != own {
			figures = append(figures, zf.ServiceRoom{
				Service: at.service,
				Centre:  at.centre,
				Demand:  rate,
			})
		}
	}
	for name, room := range rooms {
		room.Own = demand[place{
			service: name,
			centre:  own,
		}]
		figures = append(figures, room)
	}
	return figures
}

// demand returns the requests a second of the own data centre's callers.
func (w *World) demand(now time.Time) map[place]float64 {
	if revision := w.registry.ContentRevision(); w.departures.places == nil || revision != w.departures.placesRevision {
		w.departures.placesRevision = revision
		w.departures.places = make(map[zf.Cookie]place, w.registry.Size())
		for _, row := range w.registry.Rows() {
			w.departures.places[zfcookie.CookieOf(row.Server, row.Born)] = place{
				service: row.Service,
				centre:  row.Centre,
			}
		}
	}
	demand := make(map[place]float64)
	for _, load := range w.TotalLoads(now) {
		if at, known := w.departures.places[load.Cookie]; known {
			demand[at] += zfload.Rate(load)
		}
	}
	return demand
}

// RecordFigures records the figures that a control instance of another data centre
// reports. roundTrip is that of the fetch, or 0 if it is not known.
func (w *World) RecordFigures(from zf.CentreName, figures []zf.ServiceRoom, roundTrip time.Duration, now time.Time) {
	if w.departures.table == nil || from == w.replica.Self().Centre {
		return
	}
	w.departures.table.RecordDelay(from, roundTrip)
	w.departures.table.Record(from, figures, now)
}

// FollowDepartures records the decisions of another control instance of the own data
// centre.
func (w *World) FollowDepartures(source uint64, departures []zf.Departure, now time.Time) {
	if w.departures.table != nil {
		w.departures.table.Follow(source, departures, now)
	}
}

// Figures returns the figures for control instances of other data centres.
func (w *World) Figures(now time.Time) []zf.ServiceRoom {
	if w.departures.table == nil {
		return nil
	}
	return w.departures.table.Figures(now)
}

// ServiceRooms returns the rooms of the services in all data centres.
func (w *World) ServiceRooms(now time.Time) []zf.ServiceRoom {
	if w.departures.table == nil {
		return nil
	}
	return w.departures.table.ServiceRooms(now)
}

// Departures returns the decisions for the new flows of the own data centre's callers,
// and whether this control instance made them.
func (w *World) Departures(now time.Time) (departures []zf.Departure, decides bool) {
	if w.departures.table == nil {
		return nil, false
	}
	return w.departures.table.Departures(), w.departures.table.Decides(now)
}

// TakeDepartureChanges returns and clears the changed decisions since the last call.
func (w *World) TakeDepartureChanges() []zfdeparture.Change {
	if w.departures.table == nil {
		return nil
	}
	return w.departures.table.TakeChanges()
}
