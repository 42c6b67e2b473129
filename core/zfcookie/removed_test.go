package zfcookie_test

import (
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
)

// TestUnknownRouteOfOpenFlow guards against resets of open flows by an instance whose routes
// are older than those of the instance that opened them.
func TestUnknownRouteOfOpenFlow(t *testing.T) {
	v := view(row(1, "orders", "one"))
	mapper := newMapper(v)
	packet := data(1, zfcookie.CookieOf("s1", start), 1)
	packet.Flow.Destination = netip.MustParseAddrPort("198.51.100.9:443")
	t.Run("the routes are those of the start", func(t *testing.T) {
		assertVerdict(t, mapper.Route(packet, start.Add(10*time.Millisecond)), zf.ActionDrop, zf.ReasonUnknownRoute)
	})
	t.Run("the route was added later", func(t *testing.T) {
		v.Revision++
		v.Routes = append(v.Routes, zf.RouteView{
			Address: packet.Flow.Destination,
			Targets: v.Routes[0].Targets,
		})
		mapper.Tick(start.Add(100*time.Millisecond), v)
		assertForward(t, mapper.Route(packet, start.Add(110*time.Millisecond)))
	})
	t.Run("the route was removed", func(t *testing.T) {
		v.Revision++
		v.Routes = v.Routes[:1]
		mapper.Tick(start.Add(200*time.Millisecond), v)
		assertVerdict(t, mapper.Route(packet, start.Add(210*time.Millisecond)), zf.ActionReset, zf.ReasonUnknownRoute)
	})
}
