// Package zfoperator implements the calls over net/rpc to a control instance of the
// control role: operators send commands to it, and instances of the entry role fetch the
// control state in force. The keeper and forward roles use package zfcluster instead.
package zfoperator

import (
	"time"

	zf "zinniafront"
	"zinniafront/core/zfcontrol"
)

// AcceptArgs asks to accept a signed bundle.
type AcceptArgs struct {
	Signed []byte
}

// RollArgs asks to put an accepted bundle in force.
type RollArgs struct {
	Version uint64
}

// CentreArgs asks to take a data centre out or bring it back. AsOf is the sequence of the
// control state that the operator has seen, or 0.
type CentreArgs struct {
	Centre zf.CentreName
	Out    bool
	AsOf   uint64
}

// Reply is the outcome of a command.
type Reply struct {
	Outcome zfcontrol.Outcome
}

// StatusArgs asks for the control state.
type StatusArgs struct{}

// Status is the control state and its progress on the entry instances.
type Status struct {
	State     zfcontrol.State
	Instances []Progress
}

// Progress is the last report of one entry instance.
type Progress struct {
	Instance zf.InstanceName
	Centre   zf.CentreName
	Sequence uint64
	Ready    bool
	// Silent is the time since the report.
	Silent time.Duration
}

// FetchArgs asks for a control state later than Sequence, and reports that Sequence is
// in force on the instance.
type FetchArgs struct {
	Instance zf.InstanceName
	Centre   zf.CentreName
	Sequence uint64
	Ready    bool
	// Wait is how long the reply may be held back while there is no later state.
	Wait time.Duration
}

// FetchReply is the control state in force; Signed is empty if no bundle is in force.
type FetchReply struct {
	Sequence uint64
	Signed   []byte
	Out      []zf.CentreName
}
