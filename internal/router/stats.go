package router

// Stats counts requests. Accepted is always the sum of Served, NotRun, Unknown
// and InFlight.
type Stats struct {
	Accepted int64 `json:"accepted"`
	Served   int64 `json:"served"`
	NotRun   int64 `json:"not_run"`
	Unknown  int64 `json:"unknown"`
	InFlight int64 `json:"in_flight"`
}

// Stats returns the counters of this moment.
func (r *Router) Stats() Stats { return Stats{} }
