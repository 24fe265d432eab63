package daemon

import (
	"bytes"
	"context"
	"os"
	"runtime/metrics"
	"strconv"
	"time"

	"go.uber.org/zap"
)

const (
	// memoryReportInterval is the time between two checks of the memory that the process uses.
	memoryReportInterval = time.Second
	// memoryReportPercent is the percentage of the memory limit above which the use is logged.
	memoryReportPercent = 60
)

// Metrics of the Go runtime that a memory report has.
const (
	liveHeapMetric   = "/gc/heap/live:bytes"
	heapMetric       = "/memory/classes/heap/objects:bytes"
	stacksMetric     = "/memory/classes/heap/stacks:bytes"
	runtimeMetric    = "/memory/classes/total:bytes"
	releasedMetric   = "/memory/classes/heap/released:bytes"
	goroutinesMetric = "/sched/goroutines:goroutines"
)

// reportMemory logs what uses the process's memory, once for each memoryReportInterval in which it is near the limit,
// until ctx ends.
func (a *assembly) reportMemory(ctx context.Context) {
	ticker := time.NewTicker(memoryReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		limit := a.nodeLimits.MemoryMB << 20
		if used := residentBytes(); used > limit/100*memoryReportPercent {
			a.processLog.Warn("memory use high", append(memoryFields(),
				zap.Int("resident", used), zap.Int("limit", limit), zap.Int("charged", a.memory.Used()),
				zap.Int("bodies", a.front.BodyLimiter.InUse()),
				zap.Int("requests", a.core.OpenRequests()), zap.Int("backend_connections", a.backends.ConnectionCount()))...)
		}
	}
}

// memoryFields returns the Go runtime's figures, in bytes but for the number of goroutines.
func memoryFields() []zap.Field {
	samples := []metrics.Sample{
		{Name: liveHeapMetric}, {Name: heapMetric}, {Name: stacksMetric}, {Name: runtimeMetric}, {Name: releasedMetric},
		{Name: goroutinesMetric},
	}
	metrics.Read(samples)
	return []zap.Field{
		zap.Uint64("live_heap", samples[0].Value.Uint64()), // at the last collection
		zap.Uint64("heap", samples[1].Value.Uint64()),
		zap.Uint64("stacks", samples[2].Value.Uint64()),
		zap.Uint64("runtime", samples[3].Value.Uint64()-samples[4].Value.Uint64()),
		zap.Uint64("goroutines", samples[5].Value.Uint64()),
	}
}

// residentBytes returns the size of the process's resident set; 0 if it is unknown.
func residentBytes() int {
	raw, err := os.ReadFile("/proc/self/statm")
	fields := bytes.Fields(raw)
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(string(fields[1])) // the kernel writes numbers
	return pages * os.Getpagesize()
}
