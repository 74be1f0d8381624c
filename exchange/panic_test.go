package exchange

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/wire"
)

// TestBulletinAfterPanic checks that a bulletin that can't be handled costs only
// itself: the hub still takes and sends others.
func TestBulletinAfterPanic(t *testing.T) {
	var got []string
	h, err := Open(Config{
		Address: "127.0.0.1:0",
		Name:    "i000",
		Compose: func(bool) wire.Bulletin {
			return wire.Bulletin{
				Name:    "i000",
				Address: "127.0.0.1:1",
			}
		},
		OnBulletin: func(b *wire.Bulletin, _ time.Duration) {
			if b.Name == "bad" {
				panic("unexpected")
			}
			got = append(got, b.Name)
		},
		OnAggregate: func(Aggregate) {},
		Log:         &event.Log{},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	for _, name := range []string{"first", "bad", "later"} {
		h.handle(&wire.Bulletin{
			Name:    name,
			Address: "127.0.0.1:1",
		})
		h.sendOnce()
	}
	if diff := cmp.Diff([]string{"first", "later"}, got); diff != "" {
		t.Errorf("bulletins (-want +got):\n%s", diff)
	}
}
