package zfcluster_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	zf "zinniafront"
	"zinniafront/io/zfcluster"
	"zinniafront/lab/zfassert"
)

func TestDepartures(t *testing.T) {
	s := newTestFeedData()
	s.loads = []zf.ServerLoad{{}}
	s.figures = []zf.ServiceRoom{{}}
	s.departures = []zf.Departure{{}}
	feed := newFeedOf(s, "one")
	for _, c := range []struct {
		name                string
		args                zfcluster.FetchArgs
		figures, departures int
	}{
		{
			name: "an entry instance gets departures with the loads",
			args: zfcluster.FetchArgs{
				Centre: "one",
				Loads:  s.loads,
			},
			departures: 1,
		},
		{
			name: "none without loads",
			args: zfcluster.FetchArgs{
				Centre: "one",
			},
		},
		{
			name: "nor in another data centre",
			args: zfcluster.FetchArgs{
				Centre: "two",
				Loads:  s.loads,
			},
		},
		{
			name: "a control instance of another data centre gets figures",
			args: zfcluster.FetchArgs{
				Instance: "k2",
				Centre:   "two",
				Control:  true,
			},
			figures: 1,
		},
		{
			name: "but not again at once",
			args: zfcluster.FetchArgs{
				Instance: "k2",
				Centre:   "two",
				Control:  true,
			},
		},
		{
			name: "one of the same data centre gets the departures that it follows",
			args: zfcluster.FetchArgs{
				Instance: "k1",
				Centre:   "one",
				Control:  true,
			},
			departures: 1,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			reply := assertAnswered(t, feed, c.args)
			zfassert.Equal(t, "figures", len(reply.Rooms), c.figures)
			zfassert.Equal(t, "departures", len(reply.Departures), c.departures)
			zfassert.Equal(t, "decides", reply.Decides, c.departures > 0)
		})
	}
	t.Run("a reply tells how long it was held back", func(t *testing.T) {
		reply := make(chan zfcluster.FetchReply, 1)
		feed.AddFetch(zfcluster.FetchArgs{
			Source: 7,
			Cursor: 1 << 40,
			Hold:   time.Second,
		}, reply, start)
		feed.AnswerFetches(start.Add(time.Second))
		zfassert.Equal(t, "held", (<-reply).Held, time.Second)
	})
}

// encodedSize returns the bytes that a reply takes on a connection that is in use.
func encodedSize(t testing.TB, reply zfcluster.FetchReply) int {
	t.Helper()
	var stream bytes.Buffer
	encoder := gob.NewEncoder(&stream)
	zfassert.NoError(t, encoder.Encode(zfcluster.FetchReply{}))
	stream.Reset()
	zfassert.NoError(t, encoder.Encode(reply))
	return stream.Len()
}

// TestFigureSize checks the sizes of figures and departures of 928 instances in 9 data
// centres, of which one sends flows to all others.
func TestFigureSize(t *testing.T) {
	const centres = 9
	for _, c := range []struct {
		services int
		// figures and departures bound the bytes of the messages.
		figures, departures int
	}{
		{
			services:   3,
			figures:    2_000,
			departures: 1_000,
		},
		{
			services:   300,
			figures:    200_000,
			departures: 100_000,
		},
	} {
		t.Run(fmt.Sprintf("%d services", c.services), func(t *testing.T) {
			var figures, departures zfcluster.FetchReply
			for i := range c.services {
				service := zf.ServiceName(fmt.Sprintf("service-%d", i))
				departure := zf.Departure{
					Service: service,
					Home:    123456 * time.Microsecond,
					Away:    4321 * time.Microsecond,
				}
				for n := range centres {
					name := zf.CentreName(fmt.Sprintf("north-%d", n))
					room := zf.ServiceRoom{
						Service: service,
						Centre:  name,
						Demand:  123.125,
						Age:     250 * time.Millisecond,
					}
					if n == 0 {
						room.Servers, room.Room, room.Own = 30, 1234.5, 1100.25
						room.Wait, room.Bytes = 12300*time.Microsecond, 4000
						room.Answer, room.Rejected = 45600*time.Microsecond, 3.0/64
					} else {
						departure.To = append(departure.To, zf.CentreShare{
							Centre: name,
							Share:  100.0 / 1024,
						})
					}
					figures.Rooms = append(figures.Rooms, room)
				}
				departures.Departures = append(departures.Departures, departure)
			}
			zfassert.AtMost(t, "bytes of figures", float64(encodedSize(t, figures)), float64(c.figures))
			zfassert.AtMost(t, "bytes of departures", float64(encodedSize(t, departures)), float64(c.departures))
			t.Logf("%d bytes of figures, %d of departures", encodedSize(t, figures), encodedSize(t, departures))
		})
	}
}
