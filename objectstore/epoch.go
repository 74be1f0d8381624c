package objectstore

// FirstEpoch is the last epoch of a store that was never restored from a copy.
const FirstEpoch = 1

// _epochRevisions is the number of revisions in an epoch.
const _epochRevisions = 1_000_000_000_000

// Version returns the version that stands for a revision of the store in an epoch. A
// store that is restored from a copy begins a new epoch, in which it gives out again the
// revisions that it has lost. The versions of an epoch are higher than all of the ones
// before it.
func Version(epoch, revision int) int {
	return epoch*_epochRevisions + revision
}

// Epoch returns the epoch of a version.
func Epoch(version int) int {
	return version / _epochRevisions
}

// Revision returns the store's revision in the epoch of a version.
func Revision(version int) int {
	return version % _epochRevisions
}
