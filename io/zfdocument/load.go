package zfdocument

import "time"

// Load holds the settings of what happens to new flows when backend servers run short of
// room. All instances of a deployment have the same.
type Load struct {
	// Placement is PlacementCount or PlacementWait.
	Placement Placement
	// Admission is set if new flows are turned away that can't be served in time.
	Admission bool
	// Hold is set if packets that arrive before an instance knows its tables wait for them
	// rather than being dropped.
	Hold bool
	// Leaving is set if new flows may leave the data centre of their callers although
	// it has backend servers. Kilobyte is the price of the traffic between data centres:
	// the shorter wait for which a kilobyte of answers may be moved.
	Leaving  bool
	Kilobyte time.Duration
}

// Placement names how the backend server of a new flow is chosen.
type Placement string

// The placements.
const (
	// PlacementCount compares the numbers of requests.
	PlacementCount Placement = "count"
	// PlacementWait compares the expected waits for a slot.
	PlacementWait Placement = "wait"
)

// Resources holds the resources that an instance has; 0 means unknown or unlimited.
type Resources struct {
	// Processor is the share of a core.
	Processor float64
	// Memory is in megabytes, Link in megabits a second.
	Memory      float64
	Link        float64
	Descriptors int
}

type loadDocument struct {
	Placement Placement        `json:"placement"`
	Admission string           `json:"admission"`
	Early     string           `json:"early"`
	Leaving   *leavingDocument `json:"leaving"`
}

type leavingDocument struct {
	Kilobyte *duration `json:"kilobyte"`
}

type resourcesDocument struct {
	Processor   float64 `json:"processor"`
	Memory      float64 `json:"memory"`
	Link        float64 `json:"link"`
	Descriptors int     `json:"descriptors"`
}

// defaultKilobytePrice keeps flows in their data centre unless their callers gain.
const defaultKilobytePrice = 5 * time.Millisecond

// admissionRoom is the value of load.admission that turns flows away, earlyHold that of
// load.early that holds packets.
const (
	admissionRoom = "room"
	earlyHold     = "hold"
)

func (d loadDocument) load() Load {
	load := Load{
		Placement: d.Placement,
		Admission: d.Admission == admissionRoom,
		Hold:      d.Early == earlyHold,
	}
	if load.Placement == "" {
		load.Placement = PlacementCount
	}
	if d.Leaving != nil {
		load.Leaving = true
		load.Kilobyte = durationOrDefault(d.Leaving.Kilobyte, defaultKilobytePrice)
	}
	return load
}
