package zfregion_test

import (
	"net/netip"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/core/zfbundle"
	"zinniafront/core/zfslot"
	"zinniafront/lab/zfregion"
)

func testBundle(centres int) *zfbundle.Bundle {
	bundle := &zfbundle.Bundle{
		Name:    "test",
		Version: 1,
		Limits:  zfbundle.DefaultLimits(),
	}
	bundle.Limits.Gone = 20 * time.Second
	for i := range centres {
		bundle.Centres = append(bundle.Centres, zfbundle.Centre{
			Name:   zf.CentreName([]string{"one", "two", "three", "four"}[i]),
			Region: "test",
		})
	}
	for i, name := range []zf.ServiceName{"orders", "images"} {
		bundle.Services = append(bundle.Services, zfbundle.Service{
			Name:      name,
			Addresses: []netip.Addr{netip.AddrFrom4([4]byte{198, 51, 100, byte(i)})},
			Ports:     []uint16{443},
			Protocol:  zf.ProtocolTCP,
			Idle:      30 * time.Minute,
			Slots:     1024,
			Pool: zfbundle.Pool{
				Capacity: zf.Capacity{
					Slots:       2,
					Connections: 2000,
				},
			},
		})
	}
	return bundle
}

func testConfig(seed uint64) zfregion.Config {
	return zfregion.Config{
		Seed:      seed,
		Bundle:    testBundle(3),
		Instances: 9,
		Hosts: map[zf.ServiceName]int{
			"orders": 14,
			"images": 4,
		},
		Links: zfregion.Links{
			Delay:  500 * time.Microsecond,
			Jitter: time.Millisecond,
		},
		Spread: time.Second,
		Step:   50 * time.Millisecond,
		Mapper: func(_ zf.MemberView, start time.Time) zf.Mapper {
			return zfslot.New(zfslot.DefaultConfig(7, start))
		},
	}
}

func TestExplore(t *testing.T) {
	r := zfregion.New(testConfig(1))
	if !r.Until(30*time.Second, func() bool { return len(r.Ready()) == 9 }) {
		t.Fatal("not ready")
	}
	t.Log("ready at", r.Elapsed())
	r.Advance(3 * time.Second)
	r.Flows().SetLoad(zfregion.Load{
		Rate: 100, Life: 60 * time.Second, Every: time.Second, Quiet: 0.2, QuietEvery: 20 * time.Second,
	})
	show := func(what string) {
		t.Logf("%-20s %s %+v held %d reasons %v", what, r.Elapsed(), r.Flows().Result(), r.Flows().Held(), r.Reasons)
		for i, in := range r.Instances() {
			if in.Up {
				t.Log(i, in.World.Mapper().Stats())
				break
			}
		}
	}
	r.Advance(20 * time.Second)
	show("steady")
	r.DrainServer(r.Servers().List()[0])
	r.Advance(20 * time.Second)
	show("drain")
	r.JoinServer("orders")
	r.Advance(20 * time.Second)
	show("join")
	r.Kill(2)
	r.Advance(20 * time.Second)
	show("kill")
	r.Start(2)
	r.Advance(20 * time.Second)
	show("start")
	r.Stop(3)
	r.Advance(20 * time.Second)
	show("stop")
	r.Start(3)
	r.Advance(20 * time.Second)
	show("start")
	r.Out("two", true)
	r.Advance(20 * time.Second)
	show("out")
	r.Out("two", false)
	r.Advance(20 * time.Second)
	show("in")
}
