package zfcounter

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	zf "zinniafront"
	"zinniafront/core/zfadmission"
)

// SetAdmissions sets the numbers of new flows that were admitted, turned away and retried
// while limits were in force, by service and priority.
func (s *Set) SetAdmissions(counts []zfadmission.Count) {
	for _, count := range counts {
		suffix := "." + string(count.Service) + "." + strconv.Itoa(count.Priority)
		metrics.GetOrRegisterGauge("admission.admitted"+suffix, s.Registry).Update(count.Admitted)
		metrics.GetOrRegisterGauge("admission.refused"+suffix, s.Registry).Update(count.Refused)
		metrics.GetOrRegisterGauge("admission.retried"+suffix, s.Registry).Update(count.Retried)
	}
}

// SetAdmissionShare sets the share of a service's new flows that are admitted and the
// expected wait of its requests for a slot.
func (s *Set) SetAdmissionShare(service zf.ServiceName, share float64, wait time.Duration) {
	metrics.GetOrRegisterGaugeFloat64("admission.share."+string(service), s.Registry).Update(share)
	metrics.GetOrRegisterGauge("admission.wait."+string(service), s.Registry).Update(int64(wait))
}
