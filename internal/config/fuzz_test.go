package config

import (
	"math"
	"os"
	"strings"
	"testing"
)

// FuzzPlatform checks that every platform file is rejected with an error or yields settings that the daemon can work
// with.
func FuzzPlatform(f *testing.F) {
	f.Add([]byte(platformText))
	f.Add([]byte(strings.Replace(platformText, `"settings":{`,
		`"settings":{"balancers":-1,"period":-5,"rules":{"warmUp":-1,"startCapacity":9e9},`, 1)))
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, err := parsePlatform(raw, noVariables)
		if err != nil {
			return
		}
		s := p.Settings
		if len(s.Classes) == 0 || p.Names.IdleTimeout <= 0 || p.Names.DialTimeout <= 0 ||
			p.Limits.MaxRequests() < 1 || p.KillDelay() < 0 ||
			s.Gateways < 0 || s.WarmUp < 0 || s.OverloadWindow < 0 ||
			s.EventInterval < 0 || s.MaxAttempts < 0 || s.MaxRetryAfter < 0 ||
			!(s.ColdCapacityFraction >= 0 && s.ColdCapacityFraction <= 1) || s.OverloadFactor < 0 {
			t.Fatalf("%+v", p)
		}
		for _, c := range s.Classes {
			if c.Deadline < 0 || c.TTFTObjective < 0 || c.TPOTObjective < 0 ||
				c.TTFTObjectivePer1000Tokens < 0 || c.Weight < 0 {
				t.Fatalf("%+v", c)
			}
		}
	})
}

// FuzzOperator checks that every operator's file is rejected with an error text or yields settings that the daemon can
// work with.
func FuzzOperator(f *testing.F) {
	raw, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(raw))
	f.Add("listen = \"127.0.0.1:1\"\n[[class]]\nname = \"c\"\nfirst_token = \"1s\"\ngive_up = \"2s\"\nworth = 1e999\n")
	f.Add("listen = \"127.0.0.1:1\"\n[limits]\ncores = nan\n" +
		"[[class]]\nname = \"c\"\nfirst_token = \"1s\"\ngive_up = \"2s\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		o, err := ParseOperatorFile(text)
		if err != nil {
			if err.Error() == "" {
				t.Fatal("error without a text")
			}
			return
		}
		if len(o.Classes) == 0 || math.IsNaN(o.EffectiveLimits.Cores) || o.EffectiveLimits.MaxRequests() < 1 ||
			o.Settings.MaxAttempts < 1 || o.Settings.MaxAttempts > 3 {
			t.Fatalf("%+v", o)
		}
	})
}
