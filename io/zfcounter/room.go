package zfcounter

import (
	"time"

	"github.com/rcrowley/go-metrics"

	zf "zinniafront"
)

// SetRoom sets the gauges of the room of a service in this data centre.
func (s *Set) SetRoom(room zf.ServiceRoom, serviceTime time.Duration) {
	s.setRoomGauge("wait", room.Service, room.Wait.Microseconds())
	s.setRoomGauge("time", room.Service, serviceTime.Microseconds())
	s.setRoomGauge("sustained", room.Service, int64(room.Room))
	s.setRoomGauge("demand", room.Service, int64(room.Demand))
}

func (s *Set) setRoomGauge(figure string, service zf.ServiceName, value int64) {
	metrics.GetOrRegisterGauge("room."+figure+"."+string(service), s.Registry).Update(value)
}
