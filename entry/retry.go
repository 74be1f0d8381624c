package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"papayastair.dev/papayastair/objectstore"
)

const (
	// _quickRetries is the number of failed queries in a row after which an instance
	// that doesn't read for others joins the common retry rate: a single failure may
	// be that of one connection.
	_quickRetries = 2
	// _retriesPerSecond is the rate at which all instances together repeat queries of
	// one kind while the store answers none of them.
	_retriesPerSecond = 20
	// _firstRetryPause is the longest pause after a single failed query. It doubles with
	// each failure, _maxDoublings times at most.
	_firstRetryPause = 30 * time.Millisecond
	_maxDoublings    = 7
	// _dueCheckInterval is the interval between checks whether a query of the
	// configuration is still due.
	_dueCheckInterval = 100 * time.Millisecond
)

// retryPause returns the pause after a number of failed queries in a row, where a
// single instance would wait for d at most. An answer to any instance reaches all of them in
// their bulletins, so that not each of them has to ask: the calls of a large fleet
// would slow down a store that recovers. rank is that of a reader, -1 for none.
func retryPause(d time.Duration, failures, rank, instances int) time.Duration {
	d = singlePause(d, failures)
	if failures <= _quickRetries || rank >= 0 {
		return d
	}
	mean := time.Duration(instances) * time.Second / _retriesPerSecond

	return max(d, mean/2+rand.N(mean+1))
}

// singlePause returns the pause of a single instance after a number of failed queries in
// a row. The follower's pause d still counts failures from before other instances made
// queries unnecessary for a while.
func singlePause(d time.Duration, failures int) time.Duration {
	return min(d, _firstRetryPause<<min(max(failures-1, 0), _maxDoublings))
}

// retryPause returns the pause of this instance after failed queries.
func (e *Entry) retryPause(d time.Duration, failures int) time.Duration {
	return retryPause(d, failures, e.hub.ReaderRank(), len(e.hub.Instances())+1)
}

// failedQueries are the failed queries in a row, since a query last was not due.
type failedQueries struct {
	count int
	// mustList is set if the objects must be listed, because they have not been or
	// the store has dropped its history. What other instances know is no help then.
	mustList bool
}

// recordList records the result of a list.
func (f *failedQueries) recordList(err error) {
	if err == nil {
		*f = failedQueries{}

		return
	}
	f.count++
	f.mustList = true
}

// recordOld records an answer that is older than one before, and of no use.
func (f *failedQueries) recordOld() {
	f.count++
}

// recordWatch records the result of a watch.
func (f *failedQueries) recordWatch(err error) {
	if err == nil {
		f.count = 0

		return
	}
	f.count++
	f.mustList = f.mustList || objectstore.CodeOf(err) == objectstore.CodeGone
}

// sleepConfiguration waits after a failed query of the configuration: for d if only the
// store has what is needed, else for the pause of the instances together, or until no
// query is due any more because of another instance's evidence.
func (e *Entry) sleepConfiguration(ctx context.Context, d time.Duration, failed failedQueries) error {
	if failed.mustList || e.current.Load() == nil {
		return objectstore.Sleep(ctx, singlePause(d, failed.count))
	}
	for until := time.Now().Add(e.retryPause(d, failed.count)); time.Now().Before(until); {
		if e.missesVersion() {
			return objectstore.Sleep(ctx, singlePause(d, failed.count))
		}
		if e.untilConfigurationQuery() > 0 {
			return nil
		}
		if err := objectstore.Sleep(ctx, min(_dueCheckInterval, time.Until(until))); err != nil {
			return err
		}
	}

	return nil
}
