package standpoint

// Probes of engines for their load reports, where the settings allow them.

// probe probes the engine whose last probe is the longest ago, among those without a probe in flight. On
// average it sends as many probes as the gateway accepts requests, but at most one per tick. Engines of other
// zones are probed only where cross-zone requests are free.
func (r *Router) probe() {
	if !r.settings.Probes || r.settings.Reports == ReportNone || len(r.ready) == 0 ||
		r.rng.Float64() > min(1, r.requestRate*seconds(tickInterval)) {
		return
	}
	var oldest *engine
	for _, e := range r.ready {
		eligible := !e.probing && (r.isInOwnZone(e) || r.settings.CrossZonePrice <= 0)
		if eligible && (oldest == nil || e.probedAt < oldest.probedAt) {
			oldest = e
		}
	}
	if oldest != nil {
		oldest.probing = true
		oldest.probedAt = r.now
		r.emit(Action{Kind: Probe, Engine: oldest.Name})
	}
}

// onProbeResult records the result of a probe.
func (r *Router) onProbeResult(ev *ProbeResult) {
	if e := r.engines[ev.Engine]; e != nil {
		if e.probing = false; ev.OK {
			e.lastSignOfLifeAt = r.now
			if ev.Report != nil && r.settings.Reports != ReportNone {
				r.recordReport(e, ev.Report)
			}
		}
	}
}
