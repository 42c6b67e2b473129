package zinniafront

// Reason is the cause for which a packet, a message, an announcement or a
// request was refused, dropped, relayed or retried. Each has one counter.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota

	// Packets.
	ReasonMalformed
	ReasonFragment
	ReasonUnknownService
	ReasonNoServer
	ReasonNoOwner
	// ReasonOwnerPending means that the owner still waits for handover rows.
	ReasonOwnerPending
	// ReasonCentreOut means that the server's data centre is out of service.
	ReasonCentreOut
	ReasonServerGone
	ReasonNotReady
	// ReasonIsolated means that the flow is unknown and that the coordinator
	// has not recently confirmed the slot table.
	ReasonIsolated
	ReasonSendFailed
	// ReasonOpening means relayed to the owner, which places a new flow.
	ReasonOpening
	// ReasonBackup means relayed to the owner's backup, which records a new
	// flow.
	ReasonBackup
	// ReasonMovedSlot means relayed, as the slot is unsettled and the flow
	// unknown.
	ReasonMovedSlot
	// ReasonRefresh means relayed, as the owner has to confirm the server.
	ReasonRefresh
	// ReasonEnding means relayed, as the packet ends its flow.
	ReasonEnding
	// ReasonLeaving means that the server accepts no new flows.
	ReasonLeaving
	// ReasonRebind means that not all instances have acknowledged the new
	// server of a flow that was opened again.
	ReasonRebind
	ReasonFull
	ReasonUnknownRoute
	ReasonUnknownCookie
	// ReasonServerDead means that the backend server has certainly ended.
	ReasonServerDead
	// ReasonServerUnresponsive means that the backend server leaves packets unanswered
	// and that the instance that receives its heartbeats misses them.
	ReasonServerUnresponsive
	// ReasonCentreUnresponsive means that a flow's request stays unanswered while the
	// backend servers of its data centre have stopped answering together.
	ReasonCentreUnresponsive

	// ReasonNoRoom means that a new flow was turned away, as the backend servers of its
	// service can't serve it in time.
	ReasonNoRoom
	// ReasonOverloaded means that an opening packet was dropped, as the instance is
	// overloaded.
	ReasonOverloaded

	// Messages and announcements.
	ReasonTooLarge
	ReasonBadEncoding
	ReasonBadSignature
	ReasonReplay
	ReasonWrongReceiver
	ReasonRateLimited
	ReasonBadField
	ReasonQueueFull
	ReasonStale

	// Requests.
	ReasonNoSuchService
	ReasonOverLimit
	ReasonWaitExpired
	ReasonDeadline
	ReasonBodyTooLarge
	ReasonKeyMissing
	ReasonUpstreamFailed
	// ReasonAnswerCut means that the body of the response is incomplete.
	ReasonAnswerCut
	// ReasonAnswerCrossed means that the response belongs to another request.
	ReasonAnswerCrossed
	ReasonCallerGone
	// ReasonRetryNotSent means that a request was retried, since the previous
	// attempt did not send it.
	ReasonRetryNotSent

	reasonCount
)

var reasonNames = [reasonCount]string{
	ReasonNone:               "none",
	ReasonMalformed:          "malformed",
	ReasonFragment:           "fragment",
	ReasonUnknownService:     "unknownservice",
	ReasonNoServer:           "noserver",
	ReasonNoOwner:            "noowner",
	ReasonOwnerPending:       "ownerpending",
	ReasonCentreOut:          "centreout",
	ReasonServerGone:         "servergone",
	ReasonNotReady:           "notready",
	ReasonIsolated:           "isolated",
	ReasonSendFailed:         "sendfailed",
	ReasonOpening:            "opening",
	ReasonBackup:             "backup",
	ReasonMovedSlot:          "movedslot",
	ReasonRefresh:            "refresh",
	ReasonEnding:             "ending",
	ReasonLeaving:            "leaving",
	ReasonRebind:             "rebind",
	ReasonFull:               "full",
	ReasonUnknownRoute:       "unknownroute",
	ReasonUnknownCookie:      "unknowncookie",
	ReasonServerDead:         "serverdead",
	ReasonServerUnresponsive: "serverunresponsive",
	ReasonCentreUnresponsive: "centreunresponsive",
	ReasonNoRoom:             "noroom",
	ReasonOverloaded:         "overloaded",
	ReasonTooLarge:           "toolarge",
	ReasonBadEncoding:        "badencoding",
	ReasonBadSignature:       "badsignature",
	ReasonReplay:             "replay",
	ReasonWrongReceiver:      "wrongreceiver",
	ReasonRateLimited:        "ratelimited",
	ReasonBadField:           "badfield",
	ReasonQueueFull:          "queuefull",
	ReasonStale:              "stale",
	ReasonNoSuchService:      "nosuchservice",
	ReasonOverLimit:          "overlimit",
	ReasonWaitExpired:        "waitexpired",
	ReasonDeadline:           "deadline",
	ReasonBodyTooLarge:       "bodytoolarge",
	ReasonKeyMissing:         "keymissing",
	ReasonUpstreamFailed:     "upstreamfailed",
	ReasonAnswerCut:          "answercut",
	ReasonAnswerCrossed:      "answercrossed",
	ReasonCallerGone:         "callergone",
	ReasonRetryNotSent:       "retrynotsent",
}

// String returns the reason's name in counters, logs and responses.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Reasons returns every reason but ReasonNone, in order.
func Reasons() []Reason {
	reasons := make([]Reason, 0, reasonCount-1)
	for r := ReasonNone + 1; r < reasonCount; r++ {
		reasons = append(reasons, r)
	}
	return reasons
}
