package zinniafront

import (
	"cmp"
	"slices"
	"time"
)

// ServerLoad is the load of the backend server of a cookie, as entry instances observed
// it in a span of time.
type ServerLoad struct {
	Cookie   Cookie
	Requests int
	// Answers is the number of requests whose answers callers acknowledged, Busy the
	// time that the backend server took for them, with the wait for a slot and without
	// the round trip to the caller.
	Answers int
	Busy    time.Duration
	// Rejected is the number of requests that were answered too soon to have been
	// processed; they are not among Answers.
	Rejected int
	// Bytes is the size of these answers.
	Bytes int
	// Opened is the number of new flows whose callers went on after the opening packet,
	// Unopened of those that did not.
	Opened   int
	Unopened int
}

// ServerUse is the use of a backend server that a new flow may go to.
type ServerUse struct {
	// Total is the load by all entry instances of the data centre, as far as it is known,
	// Own that by this instance, both in thousandths of a request.
	Total int64
	Own   int64
	// Weight is ServerView.Weight.
	Weight float64
	// Share is the rate of requests that the backend server should get relative to
	// others, or 0 if it is not known.
	Share float64
}

// ServiceRoom is the load of a service's backend servers in one data centre, and what
// they sustain.
type ServiceRoom struct {
	Service ServiceName
	Centre  CentreName
	// Servers is the number of backend servers that take new flows.
	Servers int
	// Room is the number of requests a second that they sustain, Demand the number that
	// they get from callers of all data centres.
	Room   float64
	Demand float64
	// Own is the part of Demand that callers of the same data centre send.
	Own float64
	// Wait is the expected wait of a request for a slot.
	Wait time.Duration
	// Answer is the mean time from a request to its answer, Rejected the share of the
	// answered requests that were rejected.
	Answer   time.Duration
	Rejected float64
	// Bytes is the mean size of an answer.
	Bytes int
	// Age is the time since the figures were measured.
	Age time.Duration
}

// CentreShare is a share of new flows, from 0 to 1, that go to a data centre.
type CentreShare struct {
	Centre CentreName
	Share  float64
}

// Departure is the decision that some of a service's new flows leave the data centre of
// their callers.
type Departure struct {
	Service ServiceName
	// To are the data centres that they go to. The sum of the shares is at most 1; the
	// remaining flows stay.
	To []CentreShare
	// Home is the expected wait in the own data centre, Away the one in the others.
	Home time.Duration
	Away time.Duration
}

// Share returns the share of new flows that leave.
func (d Departure) Share() float64 {
	sum := 0.0
	for _, to := range d.To {
		sum += to.Share
	}
	return sum
}

// FindDeparture returns the departure of a service from a list ordered by service.
func FindDeparture(departures []Departure, service ServiceName) (departure Departure, found bool) {
	i, found := slices.BinarySearchFunc(departures, service, func(d Departure, name ServiceName) int {
		return cmp.Compare(d.Service, name)
	})
	if !found {
		return Departure{}, false
	}
	return departures[i], true
}

// AdmissionLimit is the decision that some of a service's new flows are turned away, as
// no data centre has room for them.
type AdmissionLimit struct {
	Service ServiceName
	// Share is the share of new flows that are admitted, from 0 to 1.
	Share float64
	// Wait is the expected wait of a request for a slot.
	Wait time.Duration
}
