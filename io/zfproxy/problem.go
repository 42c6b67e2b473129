package zfproxy

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	zf "zinniafront"
)

// Problem is the answer to a refused or failed request (RFC 9457).
// docs/ERRORS.md describes each type.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Run is "no" if the request was never dispatched, else "unknown".
	Run string `json:"run"`
}

// kind describes the answer for one reason.
type kind struct {
	status int
	title  string
	run    string
}

// statusCallerGone is the customary status for a caller that has gone.
const statusCallerGone = 499

const (
	notRun  = "no"
	unknown = "unknown"
)

var kinds = map[zf.Reason]kind{
	zf.ReasonNoSuchService: {
		status: http.StatusNotFound,
		title:  "no service of this name",
		run:    notRun,
	},
	zf.ReasonKeyMissing: {
		status: http.StatusBadRequest,
		title:  "the service needs an Idempotency-Key",
		run:    notRun,
	},
	zf.ReasonBadField: {
		status: http.StatusBadRequest,
		title:  "a header is malformed",
		run:    notRun,
	},
	zf.ReasonBodyTooLarge: {
		status: http.StatusRequestEntityTooLarge,
		title:  "the body is too large",
		run:    notRun,
	},
	zf.ReasonOverLimit: {
		status: http.StatusServiceUnavailable,
		title:  "too many requests wait",
		run:    notRun,
	},
	zf.ReasonWaitExpired: {
		status: http.StatusServiceUnavailable,
		title:  "no backend server became free in time",
		run:    notRun,
	},
	zf.ReasonNotReady: {
		status: http.StatusServiceUnavailable,
		title:  "the instance starts or stops",
		run:    notRun,
	},
	zf.ReasonDeadline: {
		status: http.StatusGatewayTimeout,
		title:  "the deadline passed before dispatch",
		run:    notRun,
	},
	zf.ReasonCallerGone: {
		status: statusCallerGone,
		title:  "the caller went away",
		run:    notRun,
	},
	zf.ReasonSendFailed: {
		status: http.StatusBadGateway,
		title:  "no backend server could be reached",
		run:    notRun,
	},
	zf.ReasonUpstreamFailed: {
		status: http.StatusBadGateway,
		title:  "the backend server did not answer",
		run:    unknown,
	},
	zf.ReasonAnswerCut: {
		status: http.StatusBadGateway,
		title:  "the answer was cut short",
		run:    unknown,
	},
	zf.ReasonAnswerCrossed: {
		status: http.StatusBadGateway,
		title:  "the answer belonged to another request",
		run:    unknown,
	},
	zf.ReasonTooLarge: {
		status: http.StatusBadGateway,
		title:  "the answer is too large",
		run:    unknown,
	},
}

// Reasons returns the reasons that have an answer of their own.
func Reasons() []zf.Reason {
	reasons := make([]zf.Reason, 0, len(kinds))
	for _, reason := range zf.Reasons() {
		if _, ok := kinds[reason]; ok {
			reasons = append(reasons, reason)
		}
	}
	return reasons
}

// problemType is the prefix of the types of problems.
const problemType = "urn:zinniafront:"

// write sends a problem; a positive retry tells when to come again.
func write(w http.ResponseWriter, reason zf.Reason, retry time.Duration) {
	k, ok := kinds[reason]
	if !ok { // A reason without an answer of its own may have run.
		k = kinds[zf.ReasonUpstreamFailed]
	}
	if retry > 0 && k.run == notRun {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retry.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(k.status)
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(Problem{
		Type:   problemType + reason.String(),
		Title:  k.title,
		Status: k.status,
		Run:    k.run,
	})
}
