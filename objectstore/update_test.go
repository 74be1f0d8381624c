package objectstore_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/wire"
)

// faultyStore loses, delays and refuses writes by a seed, and lets another
// writer overwrite the object in between.
type faultyStore struct {
	rng   *rand.Rand
	store objectstore.Store
	late  []func()
	other *objectstore.Writer
	trail int
	// unsafe reports writes of unknown outcome as not run.
	unsafe bool
}

func (f *faultyStore) platform() objectstore.Store {
	s := f.store
	s.Get = func(ctx context.Context, kind, name string) (wire.Object, error) {
		if f.rng.IntN(4) == 0 {
			f.land()
		}

		return f.store.Get(ctx, kind, name)
	}
	s.Put = f.put

	return s
}

// land applies the writes that were late.
func (f *faultyStore) land() {
	for _, write := range f.late {
		write()
	}
	f.late = nil
}

func (f *faultyStore) put(ctx context.Context, kind, name, value string, version int) (int, error) {
	fail := func(code objectstore.Code) (int, error) {
		if f.unsafe && code == objectstore.CodeUnknown {
			code = objectstore.CodeNotRun
		}

		return 0, &objectstore.Error{
			Op:   "put",
			Kind: kind,
			Name: name,
			Code: code,
		}
	}
	put := func() (int, error) { return f.store.Put(ctx, kind, name, value, version) }
	switch f.rng.IntN(8) {
	case 0:
		return fail(objectstore.CodeNotRun)
	case 1:
		return fail(objectstore.CodeUnknown)
	case 2:
		f.late = append(f.late, func() { _, _ = put() })

		return fail(objectstore.CodeUnknown)
	case 3, 4:
		_, _ = put()
		f.overwrite(ctx)

		return fail(objectstore.CodeUnknown)
	case 5:
		f.overwrite(ctx)
	}

	return put()
}

// overwrite writes as another writer, up to three times.
func (f *faultyStore) overwrite(ctx context.Context) {
	for range f.rng.IntN(4) {
		current, _ := f.store.Get(ctx, "Thing", "a")
		value, _ := appendWrite(f.trail)(current, f.other.Next(current.Version))
		_, _ = f.store.Put(ctx, "Thing", "a", value, current.Version)
	}
}

// list is a value with all writes that took effect and a trail of the last.
type list struct {
	All   []wire.Write
	Trail []wire.Write
}

func appendWrite(trail int) func(current wire.Object, write wire.Write) (string, error) {
	return func(current wire.Object, write wire.Write) (string, error) {
		var l list
		if current.Value != "" {
			if err := json.Unmarshal([]byte(current.Value), &l); err != nil {
				return "", err
			}
		}
		l.All = append(l.All, write)
		l.Trail = append(l.Trail, write)
		l.Trail = l.Trail[max(0, len(l.Trail)-trail):]
		value, err := json.Marshal(l)

		return string(value), err
	}
}

func readTrail(value string) ([]wire.Write, error) {
	var l list
	if value == "" {
		return nil, nil
	}
	err := json.Unmarshal([]byte(value), &l)

	return l.Trail, err
}

// runUpdates makes a number of updates and counts those whose outcome was
// not what the object says, and those that ended as unknown.
func runUpdates(t *testing.T, seed uint64, trail int, unsafe bool) (wrong, unknown int) {
	t.Helper()
	store := standin.NewStore().Platform()
	f := &faultyStore{
		rng:    rand.New(rand.NewPCG(seed, 1)),
		store:  store,
		other:  objectstore.NewWriter("other"),
		trail:  trail,
		unsafe: unsafe,
	}
	outcomes := map[string]objectstore.Code{}
	for i := range 8 {
		id := fmt.Sprint("writer", i)
		tries := 0
		_, err := objectstore.Update(t.Context(), objectstore.UpdateConfig{
			Store:  f.platform(),
			Kind:   "Thing",
			Name:   "a",
			Writer: objectstore.NewWriter(id),
			Change: appendWrite(trail),
			Trail:  readTrail,
			Sleep: func(context.Context, time.Duration) error {
				tries++
				if tries > 4 {
					return context.DeadlineExceeded
				}

				return nil
			},
		})
		outcomes[id] = objectstore.CodeOf(err)
	}
	f.land()
	object, err := store.Get(t.Context(), "Thing", "a")
	if err != nil {
		t.Fatal(err)
	}
	var l list
	if err := json.Unmarshal([]byte(object.Value), &l); err != nil {
		t.Fatal(err)
	}
	effects := map[string]int{}
	for _, write := range l.All {
		effects[write.WriterID]++
	}
	for id, code := range outcomes {
		n := effects[id]
		switch {
		case code == objectstore.CodeUnknown && n <= 1:
			unknown++
		case code == "" && n == 1, code == objectstore.CodeNotRun && n == 0:
		default:
			wrong++
		}
	}

	return wrong, unknown
}

// TestUpdateOutcomes runs updates under lost, late and refused writes and
// overwrites by others. No outcome may be wrong, and with a long trail only a
// write without a later reading may stay unknown; reporting lost replies as
// not run must be found out.
func TestUpdateOutcomes(t *testing.T) {
	const seeds = 150
	tests := []struct {
		name   string
		trail  int
		unsafe bool
		wrong  bool
	}{
		{
			name:  "long trail",
			trail: 64,
		},
		{
			name:  "short trail",
			trail: 1,
		},
		{
			name:   "lost replies taken as not run",
			trail:  64,
			unsafe: true,
			wrong:  true,
		},
	}
	unknown := make([]int, len(tests))
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			wrong := 0
			for seed := range uint64(seeds) {
				w, u := runUpdates(t, seed, test.trail, test.unsafe)
				wrong += w
				unknown[i] += u
				if w > 0 && !test.wrong {
					t.Fatalf("seed %d: %d wrong outcomes", seed, w)
				}
			}
			t.Logf("%d updates: %d wrong, %d unknown", 8*seeds, wrong, unknown[i])
			if test.wrong && wrong == 0 {
				t.Error("the fault was not found")
			}
		})
	}
	if unknown[0] >= unknown[1] {
		t.Errorf("unknown outcomes with a long trail %d, with a short one %d", unknown[0], unknown[1])
	}
}

// TestFollow feeds answers to Follow, old ones and failures among them, and
// compares what it reports.
func TestFollow(t *testing.T) {
	object := func(name, value string, version int) wire.Object {
		return wire.Object{
			Kind:    "Thing",
			Name:    name,
			Version: version,
			Value:   value,
		}
	}
	type answer struct {
		op   string
		list wire.ObjectList
		code objectstore.Code
	}
	answers := []answer{
		{
			op: "list",
			list: wire.ObjectList{
				Version: 5,
				Objects: []wire.Object{object("a", "1", 3), object("b", "1", 5)},
			},
		},
		{
			op:   "watch",
			code: objectstore.CodeUnknown,
		},
		{
			op: "watch",
			list: wire.ObjectList{
				Version: 4,
				Objects: []wire.Object{object("a", "old", 2)},
			},
		},
		{
			op: "watch",
			list: wire.ObjectList{
				Version: 7,
				Objects: []wire.Object{object("a", "2", 7), object("b", "1", 5)},
			},
		},
		{
			op:   "watch",
			code: objectstore.CodeGone,
		},
		{
			op:   "list",
			list: wire.ObjectList{Version: 6},
		},
		{
			op: "list",
			list: wire.ObjectList{
				Version: 9,
				Objects: []wire.Object{object("b", "3", 9)},
			},
		},
		{
			op:   "watch",
			list: wire.ObjectList{Version: 9},
		},
	}
	var got []string
	ctx, cancel := context.WithCancel(t.Context())
	next := func(op string) (wire.ObjectList, error) {
		a := answers[0]
		answers = answers[1:]
		if a.op != op {
			t.Errorf("call %s, want %s", op, a.op)
		}
		if len(answers) == 0 {
			cancel()
		}
		if a.code != "" {
			return wire.ObjectList{}, &objectstore.Error{Code: a.code}
		}

		return a.list, nil
	}
	objectstore.Follow(ctx, objectstore.FollowConfig{
		Store: objectstore.Store{
			List:  func(context.Context, string) (wire.ObjectList, error) { return next("list") },
			Watch: func(context.Context, string, int) (wire.ObjectList, error) { return next("watch") },
		},
		Kind:    "Thing",
		Changed: func(o wire.Object) { got = append(got, fmt.Sprintf("%s=%s@%d", o.Name, o.Value, o.Version)) },
		Current: func(revision int) { got = append(got, fmt.Sprint(revision)) },
		Sleep:   func(context.Context, time.Duration) error { return nil },
	})
	want := []string{"a=1@3", "b=1@5", "5", "a=2@7", "7", "a=@9", "b=3@9", "9", "9"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reported (-want +got):\n%s", diff)
	}
}
