package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCheckFindsPlantedSends checks that sends later than the grace after a notification are found, and no others.
func TestCheckFindsPlantedSends(t *testing.T) {
	t.Parallel()
	start := time.Now()
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	notifications := []Notification{
		{"n1", "s1", at(1000), "due"}, {"n1", "s1", at(400), "written"}, {"n1", "s1", at(700), "written"},
		{"n2", "s1", at(2000), "due"},
		{"n4", "s1", at(100), "written"}, {"n4", "s1", at(4000), "written"},
	}
	starts := ProcessStarts{"n4": {at(0), at(3000)}}
	sends := []Send{
		{Node: "n1", Backend: "s1", TraceID: "within", At: at(900)},
		{Node: "n1", Backend: "s1", TraceID: "planted", At: at(901)},
		{Node: "n1", Backend: "s1", TraceID: "lag of this process", At: at(905), Lag: 5 * time.Millisecond},
		{Node: "n1", Backend: "s2", TraceID: "not draining", At: at(9000)},
		{Node: "n2", Backend: "s1", TraceID: "notified later", At: at(2500)},
		{Node: "n2", Backend: "s1", TraceID: "planted too", At: at(2600)},
		{Node: "n4", Backend: "s1", TraceID: "this process was notified", At: at(2000)},
		{Node: "n4", Backend: "s1", TraceID: "next process not notified yet", At: at(3900)},
		{Node: "n4", Backend: "s1", TraceID: "next process notified", At: at(4600)},
		{Node: "n3", Backend: "s1", TraceID: "never notified", At: at(9000)},
	}
	var found []string
	for _, violation := range Check(notifications, sends, starts, 500*time.Millisecond) {
		found = append(found, violation.Send.TraceID)
	}
	require.Equal(t, []string{"planted", "this process was notified", "planted too", "next process notified"}, found)
	first := Check(notifications, sends, starts, 500*time.Millisecond)[0]
	require.Equal(t, "written", first.Notification.By, "the earliest notification counts")
}

// TestDueNotifications checks the time at which a node counts as notified at the latest: after discovery has been
// reachable for long enough without interruption, and only from a discovery that the node still polls.
func TestDueNotifications(t *testing.T) {
	t.Parallel()
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	discovery := NewDiscovery(t, nil, 1, []Host{{Host: "s", Health: "ready"}})
	discovery.upTimes = []time.Time{at(0), at(10)}
	discovery.downTimes = []time.Time{at(8)}
	for _, test := range []struct {
		name    string
		changed int // when the health changes, in seconds
		from    int // from when the node polls, in seconds
		until   int // until when the node polls, in seconds; 0: to the end of the test
		due     int // when the node counts as notified, in seconds
		never   bool
	}{
		{name: "up all the time", changed: 1, due: 7},
		{name: "down within NotificationTimeout of the change", changed: 4, due: 16},
		{name: "changed while discovery is down", changed: 9, due: 16},
		{name: "changed after discovery is up again", changed: 11, due: 17},
		{name: "polled later", changed: 1, from: 12, due: 18},
		{name: "detached before", changed: 11, until: 15, never: true},
	} {
		discovery.changes = []change{{at(test.changed), Host{Host: "s", Health: "draining"}}}
		discovery.attachments = map[string][]attachment{"n": {{from: at(test.from)}}}
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
