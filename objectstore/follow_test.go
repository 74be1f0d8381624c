package objectstore_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/wire"
)

// TestFollowOutlivesPanic checks that an object whose change can't be handled
// doesn't end the following of the others: nothing would tell that they are out of
// date.
func TestFollowOutlivesPanic(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var got []string
	objectstore.Follow(ctx, objectstore.FollowConfig{
		Store: objectstore.Store{
			List: func(context.Context, string) (wire.ObjectList, error) {
				return wire.ObjectList{
					Version: 3,
					Objects: []wire.Object{
						{
							Name:    "good",
							Version: 1,
							Value:   "1",
						},
						{
							Name:    "bad",
							Version: 2,
							Value:   "2",
						},
						{
							Name:    "later",
							Version: 3,
							Value:   "3",
						},
					},
				}, nil
			},
			Watch: func(ctx context.Context, _ string, _ int) (wire.ObjectList, error) {
				cancel()

				return wire.ObjectList{}, ctx.Err()
			},
		},
		Kind: "things",
		Changed: func(object wire.Object) {
			if object.Name == "bad" {
				panic("unexpected")
			}
			got = append(got, object.Name)
		},
		Sleep: func(context.Context, time.Duration) error { return nil },
		Log:   &event.Log{},
	})
	if diff := cmp.Diff([]string{"good", "later"}, got); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}
