package dispatch

// Overload tells for which services decisions under overload are made. The functions are called
// for each plan; a nil one selects no service.
type Overload struct {
	// SingleRead selects the services whose requests wait for the prefill of a shared prefix
	// that is under way.
	SingleRead func(service string) bool
	// Waiting selects the services whose late requests wait in one order over all nodes.
	Waiting func(service string) bool
	// SpreadRetries selects the services whose refused callers are told to retry at different
	// times.
	SpreadRetries func(service string) bool
}

// withDefaults returns the functions, with those that are nil replaced.
func (o Overload) withDefaults() Overload {
	for _, selects := range []*func(string) bool{&o.SingleRead, &o.Waiting, &o.SpreadRetries} {
		if *selects == nil {
			*selects = func(string) bool { return false }
		}
	}
	return o
}
