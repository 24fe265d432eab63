package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCheckFindsPlantedSends plants sends behind the grace: they are found, and no other.
func TestCheckFindsPlantedSends(t *testing.T) {
	t.Parallel()
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	notifications := []Notification{
		{"n1", "s1", at(1000), "due"}, {"n1", "s1", at(400), "written"}, {"n1", "s1", at(700), "written"},
		{"n2", "s1", at(2000), "due"},
		{"n4", "s1", at(100), "written"}, {"n4", "s1", at(4000), "written"},
	}
	starts := ProcessStarts{"n4": {at(0), at(3000)}}
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
	for _, violation := range Check(notifications, sends, starts, 500*time.Millisecond) {
		found = append(found, violation.Send.TraceID)
	}
	require.Equal(t, []string{"planted", "its process was told", "planted too", "the next was"}, found)
	first := Check(notifications, sends, starts, 500*time.Millisecond)[0]
	require.Equal(t, "written", first.Notification.By, "the earliest counts")
}

// TestDueNotifications computes when a node counts as notified: by the first moment from which discovery could be
// reached for long enough, and by the discovery that the node polls.
func TestDueNotifications(t *testing.T) {
	t.Parallel()
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	discovery := NewDiscovery(t, nil, 1, []Host{{Host: "s", Health: "ready"}})
	discovery.upTimes = []time.Time{at(0), at(10)}
	discovery.downTimes = []time.Time{at(8)}
	for _, test := range []struct {
		name  string
		made  int
		from  int
		until int // 0: to the end
		due   int
		never bool
	}{
		{name: "up all the time", made: 1, due: 7},
		{name: "down within the time", made: 4, due: 16},
		{name: "made while it is down", made: 9, due: 16},
		{name: "made behind it", made: 11, due: 17},
		{name: "asked later", made: 1, from: 12, due: 18},
		{name: "left before", made: 11, until: 15, never: true},
	} {
		discovery.changes = []change{{at(test.made), Host{Host: "s", Health: "draining"}}}
		discovery.attached = map[string][]span{"n": {{from: at(test.from)}}}
		if test.until > 0 {
			discovery.Detach("n", at(test.until))
		}
		if test.never {
			require.Empty(t, discovery.LatestNotifications(), test.name)
			continue
		}
		require.Equal(t, []Notification{{"n", "s", at(test.due), "due"}}, discovery.LatestNotifications(), test.name)
	}
}
