package zffront

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
	zf.ReasonNoSuchService:  {http.StatusNotFound, "no service of this name", notRun},
	zf.ReasonKeyMissing:     {http.StatusBadRequest, "the service needs an Idempotency-Key", notRun},
	zf.ReasonBadField:       {http.StatusBadRequest, "a header is malformed", notRun},
	zf.ReasonBodyTooLarge:   {http.StatusRequestEntityTooLarge, "the body is too large", notRun},
	zf.ReasonOverLimit:      {http.StatusServiceUnavailable, "too many requests wait", notRun},
	zf.ReasonWaitExpired:    {http.StatusServiceUnavailable, "no backend server became free in time", notRun},
	zf.ReasonNotReady:       {http.StatusServiceUnavailable, "the instance starts or stops", notRun},
	zf.ReasonDeadline:       {http.StatusGatewayTimeout, "the deadline passed before dispatch", notRun},
	zf.ReasonCallerGone:     {statusCallerGone, "the caller went away", notRun},
	zf.ReasonSendFailed:     {http.StatusBadGateway, "no backend server could be reached", notRun},
	zf.ReasonUpstreamFailed: {http.StatusBadGateway, "the backend server did not answer", unknown},
	zf.ReasonAnswerCut:      {http.StatusBadGateway, "the answer was cut short", unknown},
	zf.ReasonAnswerCrossed:  {http.StatusBadGateway, "the answer belonged to another request", unknown},
	zf.ReasonTooLarge:       {http.StatusBadGateway, "the answer is too large", unknown},
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
