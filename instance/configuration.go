package instance

import (
	"context"
	"encoding/json"
	"time"

	"papayastair.dev/papayastair/settings"
	"papayastair.dev/papayastair/wire"
)

const _pollPeriod = 300 * time.Millisecond

// followConfiguration reads the subtrees until ctx ends.
func (i *Instance) followConfiguration(ctx context.Context) {
	store := i.platform.Store("Configuration")
	seen := 0
	for ctx.Err() == nil {
		list, err := store.List(ctx, "Subtree")
		if err == nil && list.Version > seen && len(list.Objects) > 0 {
			var subtrees []wire.Subtree
			for _, object := range list.Objects {
				var subtree wire.Subtree
				if json.Unmarshal([]byte(object.Value), &subtree) == nil {
					subtrees = append(subtrees, subtree)
				}
			}
			if snapshot, problems := settings.Resolve(subtrees); problems.Err() == nil {
				seen = list.Version
				i.apply(snapshot)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(_pollPeriod):
		}
	}
}
