package zinniafront

// WireError reports why a datagram was refused.
type WireError struct {
	Reason Reason
	Cause  error
}

// Error implements error.
func (e *WireError) Error() string {
	if e.Cause == nil {
		return "datagram refused: " + e.Reason.String()
	}
	return "datagram refused: " + e.Reason.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *WireError) Unwrap() error { return e.Cause }
