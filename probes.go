package standpoint

// Probes, where they are allowed.

func (r *Router) probe() {
	if !r.settings.Probes || r.settings.Reports == ReportNone || len(r.ready) == 0 ||
		r.rng.Float64() > min(1, r.requestRate*seconds(tickInterval)) {
		return
	}
	var oldest *engine
	for _, e := range r.ready {
		may := !e.probing && (r.isInOwnZone(e) || r.settings.CrossZonePrice <= 0)
		if may && (oldest == nil || e.probedAt < oldest.probedAt) {
			oldest = e
		}
	}
	if oldest != nil {
		oldest.probing = true
		oldest.probedAt = r.now
		r.emit(Action{Kind: Probe, Engine: oldest.Name})
	}
}

func (r *Router) onProbed(ev *ProbeResult) {
	if e := r.engines[ev.Engine]; e != nil {
		if e.probing = false; ev.OK {
			e.lastSignOfLife = r.now
			if ev.Report != nil && r.settings.Reports != ReportNone {
				r.recordReport(e, ev.Report)
			}
		}
	}
}
