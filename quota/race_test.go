//go:build race

package quota

import "time"

// _floodTime is shorter under the race detector, which is about ten times as
// slow. The number of schedules is the same.
const _floodTime = 4 * time.Second
