package zfcontrollerloop

import "zinniafront/io/zfevent"

// reportAdmission publishes the limits in force and logs their changes.
func (l *Loop) reportAdmission() {
	admission := l.config.World.Admission()
	for _, limit := range admission.Limits() {
		l.config.Counters.SetAdmissionShare(limit.Service, limit.Share, limit.Wait)
	}
	for _, change := range admission.TakeChanges() {
		l.config.Counters.SetAdmissionShare(change.Service, change.Share, change.Wait)
		l.config.Logger.Entry(zfevent.AdmissionChanged).Str("service", string(change.Service)).
			Float64("share", change.Share).Float64("room", change.Room).Float64("demand", change.Demand).
			Dur("wait", change.Wait).Dur("bound", change.Bound).Dur("age", change.Age).Msg("")
	}
}
