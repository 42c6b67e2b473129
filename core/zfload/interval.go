package zfload

import (
	"time"

	zf "zinniafront"
)

// minReportInterval is the minimum time between two reports of loads: flows send a request
// every one to three seconds.
const minReportInterval = time.Second

// rowsPerInterval is the number of backend servers with answers or openings whose loads
// may be sent each minReportInterval. Their rows are several times as long as those that
// hold requests alone.
const rowsPerInterval = 150

// ReportInterval returns the time between two reports of an entry instance, given the
// total loads of its data centre.
func ReportInterval(totals []zf.ServerLoad) time.Duration {
	rows := 0
	for _, load := range totals {
		if load.Answers+load.Rejected+load.Opened+load.Unopened > 0 {
			rows++
		}
	}
	return max(minReportInterval, minReportInterval*time.Duration(rows)/rowsPerInterval)
}
