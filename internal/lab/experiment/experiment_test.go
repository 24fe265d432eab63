package experiment

import (
	"bytes"
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"standpoint/internal/lab"
	"standpoint/internal/lab/load"
)

const smallExperiment = `name = "small"
seeds = 4
settle = "5s"
for = "15s"
nodes = 2
boxes = 4
pattern = "steady(8)"
[[event]]
at = "10s"
do = "pause"
value = 1.0
boxes = [0]
[[variant]]
name = "module"
[[variant]]
name = "random"
policy = "random"
[[variant]]
name = "ceiling"
policy = "ceiling"
`

func readExperiment(t *testing.T, text string) (*File, error) {
	path := filepath.Join(t.TempDir(), "experiment.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return Read(path)
}

// Guards against reports that depend on the number of cores or the order in which they finish: two runs of a file must
// give the same bytes. All promised files are written.
func TestReportIsReproducible(t *testing.T) {
	f, err := readExperiment(t, smallExperiment)
	require.NoError(t, err)
	var first []byte
	for i := range 2 {
		r, err := Run(t.Context(), f, nil)
		require.NoError(t, err)
		require.False(t, r.ModuleBrokeRules(), "%+v", r.Variants[0].Breaches)
		raw, err := r.JSON()
		require.NoError(t, err)
		if i == 0 {
			first = raw
			dir := t.TempDir()
			require.NoError(t, r.Save(dir, raw))
			page, err := os.ReadFile(filepath.Join(dir, "report.html"))
			require.NoError(t, err)
			require.Contains(t, string(page), "<svg")
			require.NotContains(t, strings.ReplaceAll(string(page), "http://www.w3.org/", ""), "http://",
				"the page refers to nothing outside")
			for _, name := range []string{"service.png", "first.png", "refused.png", "waste.png", "share-1.png",
				"share-3.png"} {
				require.FileExists(t, filepath.Join(dir, name))
			}
			again, err := load.ReadFile[Report](filepath.Join(dir, "report.json"))
			require.NoError(t, err)
			found, err := Regressions(again, r, 0)
			require.NoError(t, err)
			require.Empty(t, found, "a report is no worse than itself")
			continue
		}
		require.True(t, bytes.Equal(first, raw))
	}
}

// An interrupted run reports the seeds that all variants completed.
func TestInterruptedRunKeepsCompleteSeeds(t *testing.T) {
	f, err := readExperiment(t, strings.Replace(smallExperiment, "seeds = 4", "seeds = 200", 1))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r, err := Run(ctx, f, cancelOnWrite(cancel))
	require.NoError(t, err)
	require.True(t, r.Incomplete)
	for _, v := range r.Variants {
		require.Len(t, v.Runs, len(r.Variants[0].Runs))
	}
	raw, err := r.JSON()
	require.NoError(t, err)
	require.NoError(t, r.Save(t.TempDir(), raw))
}

// cancelOnWrite is a progress writer that interrupts the run at its first write.
type cancelOnWrite func()

func (w cancelOnWrite) Write(p []byte) (int, error) { w(); return len(p), nil }

// A 95% interval contains the true mean in about 95 of 100 cases.
func TestBootstrap(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	within := 0
	for range 200 {
		values := make([]float64, 40)
		for i := range values {
			values[i] = 3 + rng.NormFloat64()
		}
		mean, low, top := bootstrap(values)
		require.True(t, low <= mean && mean <= top)
		if low <= 3 && 3 <= top {
			within++
		}
	}
	require.Greater(t, within, 175)
	require.Less(t, within, 200)
}

// A regression counts if its interval supports it. A newly broken rule always counts.
func TestRegressions(t *testing.T) {
	report := func(shift, noise float64) *Report {
		rng := rand.New(rand.NewPCG(uint64(noise*100), 3))
		v := VariantResult{Name: "module", Breaches: map[string]int{}}
		for seed := range uint64(20) {
			v.Runs = append(v.Runs, lab.Outcome{Seed: seed, Service: 0.9 + shift + noise*rng.NormFloat64()})
		}
		return &Report{File: &File{}, Variants: []VariantResult{v}}
	}
	was := report(0, 0.001)
	found, err := Regressions(was, report(-0.05, 0.02), 0.005)
	require.NoError(t, err)
	require.Len(t, found, 1)
	require.Contains(t, found[0], "module: service is worse by -0.0")
	found, err = Regressions(was, report(-0.005, 0.1), 0.005)
	require.NoError(t, err)
	require.Empty(t, found, "the change is within the interval")
	found, err = Regressions(was, report(0.05, 0.01), 0)
	require.NoError(t, err)
	require.Empty(t, found)
	broken := report(0, 0.001)
	broken.Variants[0].Breaches["two attempts at once"] = 1
	found, err = Regressions(was, broken, 0.5)
	require.NoError(t, err)
	require.Equal(t, []string{"module: two attempts at once: 1, before 0"}, found)
	broken.Variants[0].Name = "other"
	_, err = Regressions(was, broken, 0)
	require.ErrorContains(t, err, "no variant in common")
}

func TestFileErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ from, to, key string }{
		{`name = "small"`, "", "name:"},
		{`seeds = 4`, `seeds = 0`, "seeds:"},
		{`for = "15s"`, `for = "15"`, "for"},
		{`nodes = 2`, `nodes = 2000`, "variant[0]: nodes:"},
		{`boxes = 4`, `boxes = -4`, "variant[0]: boxes:"},
		{`"steady(8)"`, `"steady(8"`, "variant[0]: pattern: column"},
		{`policy = "random"`, `policy = "luck"`, "variant[1]: policy:"},
		{`do = "pause"`, `do = "dance"`, "event[0].do:"},
		{`value = 1.0`, `value = -1.0`, "event[0].value:"},
		{`boxes = [0]`, `boxes = [4]`, "event[0].boxes: 4 is not from 0 to 3"},
		{`name = "ceiling"`, `name = "random"`, "variant[2].name:"},
		{`policy = "ceiling"`, `colour = "red"`, "variant.colour: unknown key"},
	} {
		require.Contains(t, smallExperiment, c.from)
		_, err := readExperiment(t, strings.Replace(smallExperiment, c.from, c.to, 1))
		require.ErrorContains(t, err, c.key)
	}
	_, err := Read("../../../deploy/lab/policies.toml")
	require.NoError(t, err)
}
