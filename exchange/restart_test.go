package exchange

import (
	"testing"
	"time"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/wire"
)

// TestAcknowledgedBeforeRestart guards against news that an instance dates ahead of its
// clock, and takes for current ever after (DRAIN): a bulletin that acknowledges one of
// the process before, whose machine had been running for longer.
func TestAcknowledgedBeforeRestart(t *testing.T) {
	tests := []struct {
		name        string
		acknowledge func(v *view, list []wire.HeardBulletin, name string, now time.Duration) []wire.HeardBulletin
	}{
		{
			name:        "mesh",
			acknowledge: (*view).acknowledge,
		},
		{
			name:        "aggregate",
			acknowledge: (*view).acknowledgeIncluded,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			open := func(name string, start int) *view {
				return newView(Config{
					Name:  name,
					Start: start,
					Log:   &event.Log{},
				})
			}
			// transfer sends a bulletin and returns what the receiver knows of its time.
			transfer := func(from, to *view, address string, sentAt, receivedAt time.Duration) time.Duration {
				b := &wire.Bulletin{
					Name:    from.name,
					Start:   from.start,
					Address: address,
					SentMS:  int(sentAt.Milliseconds()),
				}
				if from.peers[to.name] != nil {
					b.Heard = tt.acknowledge(from, b.Heard, to.name, sentAt)
				}
				notBefore, ok := to.apply(b, receivedAt)
				if !ok {
					t.Fatalf("the bulletin of %s was refused", from.name)
				}

				return notBefore
			}
			const (
				uptime   = 8 * time.Hour
				since    = 10 * time.Second
				other    = time.Hour
				interval = time.Second
			)
			first, second, b := open("a", 1), open("a", 2), open("b", 1)
			transfer(first, b, "10.0.0.1:1", uptime, other)
			if got := transfer(b, second, "10.0.0.2:1", other+interval, since); got != 0 {
				t.Errorf("dated %s after the start of the machine, by the acknowledgement of another process; it runs for %s", got, since)
			}
			transfer(second, b, "10.0.0.1:1", since+interval, other+2*interval)
			got := transfer(b, second, "10.0.0.2:1", other+3*interval, since+3*interval)
			if want := since + 2*interval; got != want {
				t.Errorf("dated %s after the start of the machine, want %s", got, want)
			}
		})
	}
}
