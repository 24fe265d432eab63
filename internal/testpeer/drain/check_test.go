package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A send that is planted behind the grace is found, and no other.
func TestCheckFindsPlantedSends(t *testing.T) {
	t.Parallel()
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	told := []Notification{
		{"n1", "s1", at(1000), "due"}, {"n1", "s1", at(400), "written"}, {"n1", "s1", at(700), "written"},
		{"n2", "s1", at(2000), "due"},
		{"n4", "s1", at(100), "written"}, {"n4", "s1", at(4000), "written"},
	}
	lives := ProcessStarts{"n4": {at(0), at(3000)}}
	sends := []Send{
		{Node: "n1", Backend: "s1", TraceID: "within", At: at(900)},
		{Node: "n1", Backend: "s1", TraceID: "planted", At: at(901)},
		{Node: "n1", Backend: "s1", TraceID: "late judge", At: at(905), Lag: 5 * time.Millisecond},
		{Node: "n1", Backend: "s2", TraceID: "stays", At: at(9000)},
		{Node: "n2", Backend: "s1", TraceID: "told later", At: at(2500)},
		{Node: "n2", Backend: "s1", TraceID: "planted too", At: at(2600)},
		{Node: "n4", Backend: "s1", TraceID: "its process was told", At: at(2000)},
		{Node: "n4", Backend: "s1", TraceID: "the next was not yet", At: at(3900)},
		{Node: "n4", Backend: "s1", TraceID: "the next was", At: at(4600)},
		{Node: "n3", Backend: "s1", TraceID: "never told", At: at(9000)},
	}
	var found []string
	for _, v := range Check(told, sends, lives, 500*time.Millisecond) {
		found = append(found, v.Send.TraceID)
	}
	require.Equal(t, []string{"planted", "its process was told", "planted too", "the next was"}, found)
	require.Equal(t, "written", Check(told, sends, lives, 500*time.Millisecond)[0].Notification.By, "the earliest counts")
}

// What is due goes by the first moment from which discovery could be reached for long enough, and by whom the node asks.
func TestDue(t *testing.T) {
	t.Parallel()
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	d := NewDiscovery(t, nil, 1, []Host{{Host: "s", Health: "ready"}})
	d.upTimes = []time.Time{at(0), at(10)}
	d.downTimes = []time.Time{at(8)}
	for _, c := range []struct {
		name      string
		made      int
		from      int
		until     int // 0: to the end
		due       int
		toldNever bool
	}{
		{name: "up all the time", made: 1, due: 7},
		{name: "down within the time", made: 4, due: 16},
		{name: "made while it is down", made: 9, due: 16},
		{name: "made behind it", made: 11, due: 17},
		{name: "asked later", made: 1, from: 12, due: 18},
		{name: "left before", made: 11, until: 15, toldNever: true},
	} {
		d.changes = []change{{at(c.made), Host{Host: "s", Health: "draining"}}}
		d.attached = map[string][]span{"n": {{from: at(c.from)}}}
		if c.until > 0 {
			d.Detach("n", at(c.until))
		}
		if c.toldNever {
			require.Empty(t, d.DueNotifications(), c.name)
			continue
		}
		require.Equal(t, []Notification{{"n", "s", at(c.due), "due"}}, d.DueNotifications(), c.name)
	}
}
