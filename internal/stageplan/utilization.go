package stageplan

// utilization rates a division by its busier stage.
type utilization struct {
	// overload is the ratio of the observed load to the load that can be served in time, at
	// least 1.
	overload float64
	// spare is the same ratio, without that minimum, if the spare prefill engines to keep are
	// counted as load too.
	spare float64
}

// less reports whether a division is better than another. Observed load takes precedence over
// spare prefill engines.
func (f utilization) less(other utilization) bool {
	if f.overload != other.overload {
		return f.overload < other.overload
	}
	return f.spare < other.spare
}

// worthOrder reports whether a division is enough of an improvement over the current one to
// order an engine to change.
func (p Policy) worthOrder(current, best utilization) bool {
	if current.overload > 1 {
		return current.overload-best.overload >= p.LateGain*current.overload
	}
	return current.spare-best.spare >= p.Gain*current.spare
}

// estimate returns the utilization of the busier stage in a division. It doesn't count that
// decode engines can prefill too, since this delays the requests they are decoding. Observed
// load has the same weight in both stages.
func (p *Planner) estimate(prefill, decode int) utilization {
	prefillLoad := p.demand.PrefillEngines / p.policy.PrefillTarget / float64(max(prefill, 1))
	decodeLoad := p.demand.DecodeEngines / p.policy.DecodeTarget / float64(max(decode, 1))
	return utilization{overload: max(prefillLoad, decodeLoad, 1), spare: max(prefillLoad, decodeLoad, p.spareUtilization(prefill, decode))}
}

// spareUtilization returns the utilization of the prefill engines by the peak that they should
// be able to absorb. The peak is a share of all engines or a multiple of the observed load,
// whichever is less; in the latter case the result is at least 1, since more engines than the
// peak needs are of no use.
func (p *Planner) spareUtilization(prefill, decode int) float64 {
	const minBusyEngines = 1.0 // a service without load is treated as if it kept one engine busy
	share := p.policy.Spare * float64(prefill+decode)
	peak := p.policy.NextPeak * max(p.demand.PrefillEngines, minBusyEngines)
	capacity := p.policy.PrefillTarget * float64(max(prefill, 1))
	if peak < share {
		return max(peak/capacity, 1)
	}
	return share / capacity
}
