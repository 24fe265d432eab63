package standpoint

import (
	"fmt"
	"testing"
)

// BenchmarkDecision measures the cost of one request from its arrival to its outcome, by the number of engines, with
// and without pools.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 3000} {
		for _, pools := range []int{0, 2} {
			b.Run(fmt.Sprintf("engines=%d/pools=%d", n, pools), func(b *testing.B) {
				s := Settings{
					Gateways:      3,
					Zones:         1,
					Kinds:         3,
					MaxAttempts:   3,
					EventInterval: 2 * ms,
					Reports:       ReportResponses,
					Cancel:        true,
					Classes: []Class{
						{
							Streamed: true, TTFTObjective: 2500 * ms, TPOTObjective: 50 * ms,
							Deadline: 10 * second, Weight: 2,
						},
					},
				}
				r := New(s, 1)
				list := &EngineList{Kind: ListFull}
				for i := range n {
					e := Engine{Name: fmt.Sprint("box-", i), Size: 1, Kind: i % 3}
					if pools > 0 {
						e.Pool = 1 + i%pools
					}
					list.Engines = append(list.Engines, e)
				}
				now, actions := second, []Action(nil)
				actions = r.Handle(now, list, actions[:0])
				b.ReportAllocs()
				for id := int64(1); b.Loop(); id++ {
					now += ms
					q := &Request{
						ID:           id,
						Deadline:     now + 10*second,
						Session:      uint64(id/2 + 1),
						Prefix:       uint64(id%7 + 1),
						PromptTokens: 1200,
						PrefixTokens: 700,
						MaxTokens:    200,
					}
					if pools > 0 {
						q.Pool = 1 + int(id)%pools
					}
					actions = r.Handle(now, q, actions[:0])
					engine := ""
					for _, a := range actions {
						if a.Kind == Send {
							engine = a.Engine
						}
					}
					if engine == "" {
						b.Fatal("nothing was sent")
					}
					actions = r.Handle(now, &FirstToken{Request: id, Elapsed: 100 * ms}, actions[:0])
					actions = r.Handle(
						now,
						&Outcome{Request: id, Last: true, Engine: engine, Elapsed: 400 * ms,
							CachedTokens: 700, OutputTokens: 60,
							Report: &Report{MemoryUsage: 0.2, SlotUsage: 0.3}},
						actions[:0],
					)
				}
			})
		}
	}
}
