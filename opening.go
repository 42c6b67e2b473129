package zinniafront

import "time"

// OpeningVerdict is what an instance infers from opening packets about new flows to a
// backend server or, if Server is empty, to a data centre.
type OpeningVerdict struct {
	Server ServerName
	Centre CentreName
	// Share is the share of new flows, from 0 to 1, that may go there, besides probes.
	Share float64
	// Callers and Servers are the numbers of callers and of backend servers whose openings
	// led nowhere with none followed since; larger numbers count as 3. Age is that of the
	// last one.
	Callers int
	Servers int
	Age     time.Duration
	// Sample is the number of the backend server's openings in the sums of all instances
	// of the data centre.
	Sample int
	// Timeout is the time after which an opening counts as unopened.
	Timeout time.Duration
}

// Opening is the opening packet of a new flow for which room is needed.
type Opening struct {
	Flow    Flow
	Service ServiceName
	// Priority is that of the route; 0 is the highest.
	Priority int
	// Hash is the hash of the flow, identical on all instances.
	Hash uint64
	// Retransmissions is the number of times that the packet was sent before.
	Retransmissions int
}
