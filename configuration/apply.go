package configuration

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/settings"
	"papayastair.dev/papayastair/wire"
)

const (
	_maxApplyAttempts = 12
	_minApplyPause    = 50 * time.Millisecond
	_maxApplyPause    = 2 * time.Second
	_maxContentBytes  = 1 << 20
)

// Change is what an operator wants: subtrees to write as they are, and paths
// of subtrees to remove. Subtrees that it doesn't name stay as they are.
type Change struct {
	Subtrees []wire.Subtree
	Removed  []string
}

// Plan is a change against the configuration that the operator has read.
type Plan struct {
	// Base is the configuration read.
	Base Accepted
	// Change is what is wanted.
	Change Change
	// Differences are what the change does to Base; none means nothing.
	Differences []Difference
}

// Result tells what became of a change.
type Result struct {
	// Version is the version that has the change in it.
	Version int
	// Changed says that this change brought it; otherwise the configuration
	// was already as wanted.
	Changed bool
}

// ConflictError means that another operator has changed a subtree since it
// was read. Nothing was written.
type ConflictError struct {
	// Path is the subtree.
	Path string
	// Version is the version that won.
	Version int
	// Writer wrote it; empty if it is too long ago.
	Writer wire.Writer
}

// Error names the subtree and the version that won.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration: subtree %s was changed by version %d (writer %s); read it again", e.Path, e.Version, e.Writer.ID)
}

// UnknownError means that a change may or may not have been accepted, or may
// still be. To apply the same change again is safe.
type UnknownError struct {
	Cause error
}

// Error gives the cause.
func (e *UnknownError) Error() string {
	return "configuration: the change may have been accepted: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error {
	return e.Cause
}

// Applier brings changes into the store. Store, WriterID and Sleep must be
// set, and each Applier needs a WriterID of its own. It keeps the contents that
// it reads, so it is made for a command and not for a long-lived process.
type Applier struct {
	// Store is the platform's.
	Store objectstore.Store
	// WriterID is unique in all processes at all times.
	WriterID string
	// KeepVersions is for how many versions a content that is out of use stays
	// in the store; 0 means 32.
	KeepVersions int
	// TrustStored switches a guard off, for tests that show what it is for: a
	// content that is in the store already is not written anew.
	TrustStored bool
	// Sleep waits between attempts; it returns early when ctx ends.
	Sleep func(ctx context.Context, d time.Duration)

	sequence atomic.Int64
	// contents caches what was read, by digest.
	contents sync.Map
}

// Read returns the configuration and its subtrees.
func (a *Applier) Read(ctx context.Context) (Accepted, []wire.Subtree, error) {
	head, _, err := a.readHead(ctx)
	if err != nil {
		return head, nil, err
	}
	subtrees := make([]wire.Subtree, 0, len(head.Subtrees))
	for _, ref := range head.Subtrees {
		subtree, _, err := a.readSubtree(ctx, ref)
		if err != nil {
			return head, nil, err
		}
		subtrees = append(subtrees, subtree)
	}

	return head, subtrees, nil
}

// Plan reads the configuration and compares the change with it. It also
// checks the merged result; its error is of type settings.Problems if that
// is not acceptable.
func (a *Applier) Plan(ctx context.Context, change Change) (Plan, error) {
	head, _, err := a.readHead(ctx)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{
		Base:   head,
		Change: change,
	}
	for path, content := range ordered(wanted(change)) {
		ref := refOf(head, path)
		if ref.Digest == digestOf(content) {
			continue
		}
		before := ""
		if ref.Digest != "" {
			if _, before, err = a.readSubtree(ctx, ref); err != nil {
				return Plan{}, err
			}
		}
		plan.Differences = append(plan.Differences, differences(path, before, content)...)
	}
	slices.SortFunc(plan.Differences, func(x, y Difference) int {
		return strings.Compare(x.Subtree+x.Path, y.Subtree+y.Path)
	})

	return plan, a.check(ctx, head, change)
}

// Commit makes a plan the configuration, all of it or nothing. Changes that
// others made to other subtrees since the plan are kept. It fails with a
// *ConflictError, with settings.Problems if the merged result is not
// acceptable, with an *UnknownError, or with the store's error; after all but
// the third nothing was accepted.
func (a *Applier) Commit(ctx context.Context, plan Plan) (Result, error) {
	c := commit{
		applier: a,
		plan:    plan,
		seen:    plan.Base.Version,
		wanted:  wanted(plan.Change),
		writer: wire.Writer{
			ID:       a.WriterID,
			Sequence: int(a.sequence.Add(1)),
		},
	}
	random := rand.New(rand.NewPCG(xxhash.Sum64String(a.WriterID), uint64(c.writer.Sequence)))
	pause := _minApplyPause
	var err error
	for range _maxApplyAttempts {
		var result Result
		var done bool
		if result, done, err = c.attempt(ctx); done {
			return result, err
		}
		a.Sleep(ctx, pause/2+time.Duration(random.Int64N(int64(pause/2))))
		pause = min(2*pause, _maxApplyPause)
		if ctx.Err() != nil {
			break
		}
	}
	if c.doubtful > 0 {
		return Result{}, &UnknownError{Cause: err}
	}

	return Result{}, eris.Wrap(err, "configuration: gave up, nothing was accepted")
}

// commit is one run of Commit.
type commit struct {
	applier *Applier
	plan    Plan
	wanted  map[string]string
	writer  wire.Writer
	// seen is the newest version read. An older reading proves nothing: the
	// store may serve old ones.
	seen int
	// doubtful is the version of an update whose reply was lost; 0 means none.
	doubtful int
}

// attempt tries to update the head once, and reports whether the matter is
// settled. If not, the error says why.
func (c *commit) attempt(ctx context.Context) (Result, bool, error) {
	head, object, err := c.applier.readHead(ctx)
	if err != nil {
		return Result{}, false, err
	}
	if head.Version < c.seen {
		return Result{}, false, eris.Errorf("configuration: the store showed version %d and then %d", c.seen, head.Version)
	}
	c.seen = head.Version
	if change, ok := changeBy(head.Head, c.writer); ok {
		return Result{
			Version: change.Version,
			Changed: true,
		}, true, nil
	}
	if c.doubtful > 0 && head.Version >= c.doubtful+_maxRecent {
		return Result{}, true, &UnknownError{Cause: eris.Errorf("version %d is too far on to tell", head.Version)}
	}
	if c.isDone(head) {
		return Result{Version: head.Version}, true, nil
	}
	if err := c.conflict(head); err != nil {
		return Result{}, true, err
	}
	if err := c.applier.check(ctx, head, c.plan.Change); err != nil {
		var problems settings.Problems

		return Result{}, errors.As(err, &problems), err
	}
	if err := c.storeContents(ctx, head); err != nil {
		return Result{}, false, err
	}
	next := c.next(head)
	old, err := c.takeOld(ctx, &next)
	if err != nil {
		return Result{}, false, err
	}
	index, err := c.storeIndex(ctx, &next)
	if err != nil {
		return Result{}, false, err
	}
	_, err = c.applier.Store.Put(ctx, KindHead, HeadName, encode(next.Head), object.Version)
	switch objectstore.CodeOf(err) {
	case "":
		c.delete(ctx, old)

		return Result{
			Version: next.Version,
			Changed: true,
		}, true, nil
	case objectstore.CodeUnknown:
		c.doubtful = next.Version
	default:
		if c.doubtful == 0 {
			c.delete(ctx, []wire.Object{index})
		}
	}

	return Result{}, false, err
}

// isDone reports whether the head is already as wanted.
func (c *commit) isDone(head Accepted) bool {
	for path, content := range ordered(c.wanted) {
		if refOf(head, path).Digest != digestOf(content) {
			return false
		}
	}

	return true
}

// conflict compares the subtrees of the plan with those of the head.
func (c *commit) conflict(head Accepted) error {
	for path, content := range ordered(c.wanted) {
		ref := refOf(head, path)
		if ref == refOf(c.plan.Base, path) || ref.Digest == digestOf(content) {
			continue
		}
		change := lastChange(head, path)

		return &ConflictError{
			Path:    path,
			Version: change.Version,
			Writer:  change.Writer,
		}
	}

	return nil
}

// next is the head with the change in it.
func (c *commit) next(head Accepted) Accepted {
	version := head.Version + 1
	next := Accepted{
		Head: wire.Head{
			Version: version,
			Writer:  c.writer,
			Recent:  slices.Clone(head.Recent),
		},
		Index: wire.Index{
			Author:   c.writer,
			Subtrees: slices.Clone(head.Subtrees),
		},
	}
	change := wire.HeadChange{
		Version: version,
		Writer:  c.writer,
	}
	for path, content := range ordered(c.wanted) {
		digest := digestOf(content)
		if refOf(head, path).Digest == digest {
			continue
		}
		change.Paths = append(change.Paths, path)
		next.Subtrees = slices.DeleteFunc(next.Subtrees, func(ref wire.SubtreeRef) bool { return ref.Path == path })
		if content != "" {
			next.Subtrees = append(next.Subtrees, wire.SubtreeRef{
				Path:   path,
				Digest: digest,
				Since:  version,
			})
		}
	}
	slices.Sort(change.Paths)
	slices.SortFunc(next.Subtrees, func(a, b wire.SubtreeRef) int { return strings.Compare(a.Path, b.Path) })
	next.Recent = append(next.Recent, change)
	next.Recent = next.Recent[max(0, len(next.Recent)-_maxRecent):]
	next.Superseded = superseded(head, next)

	return next
}

func (a *Applier) readHead(ctx context.Context) (Accepted, wire.Object, error) {
	object, err := a.Store.Get(ctx, KindHead, HeadName)
	head, err := decodeHead(object, err)
	accepted := Accepted{Head: head}
	if err != nil || head.Version == 0 {
		return accepted, object, err
	}
	content, err := a.readContent(ctx, head.IndexDigest)
	if err != nil {
		return accepted, object, err
	}
	accepted.Index, err = decodeIndex(content)

	return accepted, object, err
}

func (a *Applier) readSubtree(ctx context.Context, ref wire.SubtreeRef) (wire.Subtree, string, error) {
	content, err := a.readContent(ctx, ref.Digest)
	if err != nil {
		return wire.Subtree{}, "", err
	}
	subtree, err := settings.DecodeSubtree(ref.Path, []byte(content))

	return subtree, content, err
}

func (a *Applier) readContent(ctx context.Context, digest string) (string, error) {
	if cached, ok := a.contents.Load(digest); ok {
		if content, ok := cached.(string); ok {
			return content, nil
		}
	}
	object, err := a.Store.Get(ctx, KindSubtree, digest)
	if err != nil {
		return "", err
	}
	if Digest(object.Value) != digest {
		return "", eris.Errorf("configuration: content %s is damaged", digest)
	}
	a.contents.Store(digest, object.Value)

	return object.Value, nil
}

// check resolves the configuration that the change makes out of a head.
func (a *Applier) check(ctx context.Context, head Accepted, change Change) error {
	contents := wanted(change)
	merged := slices.Clone(change.Subtrees)
	for _, ref := range head.Subtrees {
		if _, named := contents[ref.Path]; named {
			continue
		}
		subtree, _, err := a.readSubtree(ctx, ref)
		if err != nil {
			return err
		}
		merged = append(merged, subtree)
	}
	_, problems := settings.Resolve(merged)
	for path, content := range ordered(contents) {
		if content == "" {
			continue
		}
		// What instances can't read must not be accepted.
		var unreadable settings.Problems
		if _, err := settings.DecodeSubtree(path, []byte(content)); errors.As(err, &unreadable) {
			problems = append(problems, unreadable...)
		}
		if len(content) > _maxContentBytes {
			problems = append(problems, settings.Problem{
				File:   path,
				Path:   "/",
				Reason: fmt.Sprintf("%d bytes, more than the store's %d", len(content), _maxContentBytes),
			})
		}
	}

	return problems.Err()
}

// wanted are the contents by path; an empty one is to be removed.
func wanted(change Change) map[string]string {
	contents := map[string]string{}
	for _, path := range change.Removed {
		contents[path] = ""
	}
	for _, subtree := range change.Subtrees {
		contents[subtree.Path] = settings.Encode(subtree)
	}

	return contents
}

// ordered yields contents in the order of their paths.
func ordered(contents map[string]string) iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for _, path := range slices.Sorted(maps.Keys(contents)) {
			if !yield(path, contents[path]) {
				return
			}
		}
	}
}

// digestOf is the digest of a content, and empty for none.
func digestOf(content string) string {
	if content == "" {
		return ""
	}

	return Digest(content)
}
