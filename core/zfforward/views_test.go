package zfforward_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcookie"
	"zinniafront/core/zfforward"
	"zinniafront/core/zfregistry"
	"zinniafront/lab/zfassert"
)

// changed returns changes that tell a sequence number of a number of backend servers. The state
// of the first one differs in even and odd ones.
func changed(servers int, sequence uint64) zfregistry.Changes {
	updates := make([]zfregistry.Update, 0, servers)
	for i := range servers {
		update := changes("one").Updates[0]
		update.Server = zf.ServerName(fmt.Sprintf("s%d", i))
		update.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		update.Number = uint64(i + 1)
		update.Sequence = sequence
		if i == 0 && sequence%2 == 0 {
			update.State = zf.ServerDraining
			update.Status = zf.ServerDraining
		}
		updates = append(updates, update)
	}
	return zfregistry.Changes{
		Updates: updates,
	}
}

func TestViewsOfLargeTables(t *testing.T) {
	for _, c := range []struct {
		name    string
		servers int
		// most is the greatest number of views for 20 changes in two seconds.
		most   uint64
		prompt bool
	}{
		{
			name:    "a thousand backend servers: each change makes a view",
			servers: 1000,
			most:    21,
			prompt:  true,
		},
		{
			name:    "three thousand backend servers: views are 0.2 s apart",
			servers: 3000,
			most:    11,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			recorder := &viewRecorder{}
			world := zfforward.New(zfforward.Config{
				Self:     "e1",
				Centre:   "one",
				Mapper:   recorder,
				Observer: zfcookie.New(zfcookie.Config{}),
				Registry: zfregistry.DefaultConfig(1, time.Second),
			})
			now := start
			world.ApplyReply(zfforward.Reply{
				Changes: changed(c.servers, 1),
				State:   state(1, "orders"),
			}, now)
			first := recorder.last.Revision
			for i := range uint64(20) {
				now = now.Add(100 * time.Millisecond)
				world.ApplyReply(zfforward.Reply{
					Changes: changed(1, i+2),
				}, now)
			}
			views := recorder.last.Revision - first
			zfassert.True(t, fmt.Sprintf("%d views", views), views <= c.most && (!c.prompt || views >= 20))
			t.Run("the last change is in a view soon", func(t *testing.T) {
				world.Tick(now.Add(300 * time.Millisecond))
				zfassert.Equal(t, "state", recorder.last.Servers[0].State, zf.ServerWarm)
			})
			t.Run("a control state makes a view at once", func(t *testing.T) {
				before := recorder.last.Revision
				world.ApplyReply(zfforward.Reply{
					State: state(2, "orders"),
				}, now.Add(300*time.Millisecond))
				zfassert.Equal(t, "views", recorder.last.Revision-before, uint64(1))
			})
		})
	}
}
