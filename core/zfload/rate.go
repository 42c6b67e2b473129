package zfload

import zf "zinniafront"

// CountTime is the time constant of counted requests: a change of their rate shows after
// about as long.
const CountTime = DecayTime

// Rate returns the requests a second of a load that a Table returned.
func Rate(load zf.ServerLoad) float64 { return float64(load.Requests) / DecayTime.Seconds() }
