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

// problemKind describes the answer for one reason.
type problemKind struct {
	status int
	title  string
	run    string
}

// statusCallerGone is the customary status for a caller that has gone.
const statusCallerGone = 499

const (
	runNo      = "no"
	runUnknown = "unknown"
)

var problemKinds = map[zf.Reason]problemKind{
	zf.ReasonNoSuchService: {
		status: http.StatusNotFound,
		title:  "no service of this name",
		run:    runNo,
	},
	zf.ReasonKeyMissing: {
		status: http.StatusBadRequest,
		title:  "the service needs an Idempotency-Key",
		run:    runNo,
	},
	zf.ReasonBadField: {
		status: http.StatusBadRequest,
		title:  "a header is malformed",
		run:    runNo,
	},
	zf.ReasonBodyTooLarge: {
		status: http.StatusRequestEntityTooLarge,
		title:  "the body is too large",
		run:    runNo,
	},
	zf.ReasonOverLimit: {
		status: http.StatusServiceUnavailable,
		title:  "too many requests wait",
		run:    runNo,
	},
	zf.ReasonWaitExpired: {
		status: http.StatusServiceUnavailable,
		title:  "no backend server became free in time",
		run:    runNo,
	},
	zf.ReasonNotReady: {
		status: http.StatusServiceUnavailable,
		title:  "the instance starts or stops",
		run:    runNo,
	},
	zf.ReasonDeadline: {
		status: http.StatusGatewayTimeout,
		title:  "the deadline passed before dispatch",
		run:    runNo,
	},
	zf.ReasonCallerGone: {
		status: statusCallerGone,
		title:  "the caller went away",
		run:    runNo,
	},
	zf.ReasonSendFailed: {
		status: http.StatusBadGateway,
		title:  "no backend server could be reached",
		run:    runNo,
	},
	zf.ReasonUpstreamFailed: {
		status: http.StatusBadGateway,
		title:  "the backend server did not answer",
		run:    runUnknown,
	},
	zf.ReasonAnswerCut: {
		status: http.StatusBadGateway,
		title:  "the answer was cut short",
		run:    runUnknown,
	},
	zf.ReasonAnswerCrossed: {
		status: http.StatusBadGateway,
		title:  "the answer belonged to another request",
		run:    runUnknown,
	},
	zf.ReasonTooLarge: {
		status: http.StatusBadGateway,
		title:  "the answer is too large",
		run:    runUnknown,
	},
}

// Reasons returns the reasons that have an answer of their own.
func Reasons() []zf.Reason {
	reasons := make([]zf.Reason, 0, len(problemKinds))
	for _, reason := range zf.Reasons() {
		if _, ok := problemKinds[reason]; ok {
			reasons = append(reasons, reason)
		}
	}
	return reasons
}

// problemTypePrefix is the prefix of the types of problems.
const problemTypePrefix = "urn:zinniafront:"

// writeProblem sends a problem; a positive retry tells when to come again.
func writeProblem(w http.ResponseWriter, reason zf.Reason, retryAfter time.Duration) {
	k, ok := problemKinds[reason]
	if !ok { // A reason without an answer of its own may have run.
		k = problemKinds[zf.ReasonUpstreamFailed]
	}
	if retryAfter > 0 && k.run == runNo {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(k.status)
	// The caller may be gone; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(Problem{
		Type:   problemTypePrefix + reason.String(),
		Title:  k.title,
		Status: k.status,
		Run:    k.run,
	})
}
