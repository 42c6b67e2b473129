package zfcontroller

import (
	"time"

	"zinniafront/core/zfadmission"
	"zinniafront/core/zfbundle"
)

// routesInForce caches the routes of the bundle in force.
type routesInForce struct {
	version uint64
	routes  []zfbundle.Route
}

// Admission returns the table of limits for new flows.
func (w *World) Admission() *zfadmission.Table { return w.admission }

// limitAdmission updates the limits by the room of all data centres.
func (w *World) limitAdmission(now time.Time) {
	if !w.config.Admission {
		return
	}
	_, state := w.CommittedState()
	w.admission.Tick(now, zfadmission.Input{
		Rooms:  w.ServiceRooms(now),
		Out:    CentresOut(state),
		Routes: w.currentRoutes(),
	})
}

// currentRoutes returns the routes of the bundle in force, or nil if there is none that
// can be read here.
func (w *World) currentRoutes() []zfbundle.Route {
	_, state := w.CommittedState()
	if w.routes.version == state.InForce {
		return w.routes.routes
	}
	w.routes = routesInForce{
		version: state.InForce,
	}
	if bundle, err := w.config.Decode(DocumentInForce(state)); err == nil {
		w.routes.routes = bundle.Routes
	}
	return w.routes.routes
}
