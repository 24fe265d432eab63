package daemon

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"standpoint/internal/config"
	"standpoint/internal/dnssd/browser"
	"standpoint/internal/metrics"
	"standpoint/internal/store"
	"standpoint/internal/testpeer/golden"
)

// ownMetrics returns the lines of an exposition that concern the daemon's own metrics, with or without their values.
func ownMetrics(text string, values bool) []string {
	var lines []string
	for _, line := range strings.Split(text, "\n") {
		if !strings.Contains(line, "standpoint_") {
			continue
		}
		if i := strings.LastIndexByte(line, ' '); !values && !strings.HasPrefix(line, "#") && i >= 0 {
			line = line[:i]
		}
		lines = append(lines, line)
	}
	return lines
}

// goldenAssembly returns an assembly with the components that metrics are read from. Its core does not run.
func goldenAssembly(t *testing.T) *assembly {
	t.Helper()
	cfg, err := config.ReadOperatorFile(operatorFile(t, "127.0.0.1:1", "127.0.0.1:2"))
	require.NoError(t, err)
	a := &assembly{deployment: fromOperator(cfg), store: store.NewMemory(), log: zap.NewNop()}
	a.counters = metrics.New([]string{"chat", "import"}, func() int { return a.core.OpenRequests() })
	_, err = backendsComponent(a)
	require.NoError(t, err)
	_, err = operatorEndpointsComponent(a)
	require.NoError(t, err)
	_, err = coreComponent(a)
	require.NoError(t, err)
	return a
}

// TestGoldenMetrics compares the names, types, help texts and labels of all metrics, including those of discovery, with
// a golden file. Each counter has a different value, so that exchanged metrics show.
func TestGoldenMetrics(t *testing.T) {
	a := goldenAssembly(t)
	r, err := newRegistry(a)
	require.NoError(t, err)
	_, err = browser.NewMetrics(r)
	require.NoError(t, err)
	a.nodeCount.Store(3)
	for range 4 {
		a.counters.CountRequest(0, metrics.Succeeded)
	}
	for range 5 {
		a.counters.CountRequest(0, metrics.Rejected)
	}
	for range 6 {
		a.counters.CountRequest(1, metrics.Failed)
	}
	for range 7 {
		a.counters.CountAttempt()
	}
	a.counters.SetBackends(8, 9)
	served := httptest.NewServer(promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
	defer served.Close()
	response, err := http.Get(served.URL)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	descriptions := make(chan *prometheus.Desc, 1000)
	r.Describe(descriptions)
	close(descriptions)
	var lines []string
	for d := range descriptions {
		if strings.Contains(d.String(), "standpoint_") {
			lines = append(lines, d.String())
		}
	}
	slices.Sort(lines)
	lines = append(lines, ownMetrics(string(text), true)...)
	golden.Bytes(t, "metrics.txt", []byte(strings.Join(lines, "\n")+"\n"))
}
