package zfproxy

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	zf "zinniafront"
)

// Problem is the response to a refused or failed request (RFC 9457).
// docs/ERRORS.md describes each type.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Run reports whether a backend server ran the request: "no" if the request was
	// certainly not sent to one, else "unknown".
	Run string `json:"run"`
}

// problemKind is the response for one reason.
type problemKind struct {
	status int
	title  string
	run    string
}

// statusCallerGone is the non-standard status 499, commonly used where the caller
// closed the connection before the response.
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

// Reasons returns the reasons that have a problem type of their own.
func Reasons() []zf.Reason {
	reasons := make([]zf.Reason, 0, len(problemKinds))
	for _, reason := range zf.Reasons() {
		if _, ok := problemKinds[reason]; ok {
			reasons = append(reasons, reason)
		}
	}
	return reasons
}

// problemTypePrefix is the prefix of every problem type.
const problemTypePrefix = "urn:zinniafront:"

// writeProblem sends the problem for a reason. A positive retryAfter is sent as the
// Retry-After header if the request was not run.
func writeProblem(w http.ResponseWriter, reason zf.Reason, retryAfter time.Duration) {
	kind, ok := problemKinds[reason]
	if !ok { // The reason has no problem type of its own; the request may have run.
		kind = problemKinds[zf.ReasonUpstreamFailed]
	}
	if retryAfter > 0 && kind.run == runNo {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(kind.status)
	// A write error means that the caller is gone, which needs no handling.
	_ = json.NewEncoder(w).Encode(Problem{
		Type:   problemTypePrefix + reason.String(),
		Title:  kind.title,
		Status: kind.status,
		Run:    kind.run,
	})
}
