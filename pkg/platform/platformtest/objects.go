package platformtest

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"testing"

	"martenwheel.dev/pkg/platform"
)

// ObjectsFixture is an empty object store with a function to set its faults.
type ObjectsFixture struct {
	Objects  platform.Objects
	SetFault func(Fault)
}

// RunObjectsContract tests that the object stores returned by factory fulfil the
// contract of platform.Objects.
func RunObjectsContract(t *testing.T, factory func(*testing.T) ObjectsFixture) {
	t.Run("round trip", func(t *testing.T) { testRoundTrip(t, factory(t).Objects) })
	t.Run("list", func(t *testing.T) { testObjectList(t, factory(t).Objects) })
	testObjectFaults(t, factory)
}

func testRoundTrip(t *testing.T, objects platform.Objects) {
	ctx := t.Context()
	_, err := objects.Get(ctx, "tree/1")
	wantError(t, err, platform.ErrNotFound)
	for _, size := range []int{0, 1, 100_000, 3 << 20} {
		data := bytes.Repeat([]byte{byte(size), 1, 2, '\r', '\n'}, size/5+1)[:size]
		if err := objects.Put(ctx, "tree/1", data); err != nil {
			t.Fatal(err)
		}
		read, err := objects.Get(ctx, "tree/1")
		if err != nil || !bytes.Equal(read, data) {
			t.Errorf("read %d of %d bytes, error %v", len(read), size, err)
		}
	}
	for range 2 { // deleting a missing object is no error
		if err := objects.Delete(ctx, "tree/1"); err != nil {
			t.Fatal(err)
		}
	}
	_, err = objects.Get(ctx, "tree/1")
	wantError(t, err, platform.ErrNotFound)
}

func testObjectList(t *testing.T, objects platform.Objects) {
	const count = 1100 // more than a page
	for i := range count {
		if err := objects.Put(t.Context(), fmt.Sprintf("a/%04d", count-1-i), []byte("x")); err != nil {
			t.Fatal(err)
		}
	}
	if err := objects.Put(t.Context(), "b/1", nil); err != nil {
		t.Fatal(err)
	}
	names, err := objects.List(t.Context(), "a/")
	if err != nil || len(names) != count || !slices.IsSorted(names) {
		t.Errorf("%d names, sorted %t, error %v", len(names), slices.IsSorted(names), err)
	}
	if names, err := objects.List(t.Context(), "b/"); err != nil || !slices.Equal(names, []string{"b/1"}) {
		t.Errorf("names %v, error %v", names, err)
	}
}

func testObjectFaults(t *testing.T, factory func(*testing.T) ObjectsFixture) {
	cases := []struct {
		fault    Fault
		wantPut  error
		wantRead error
	}{
		{Refuse, platform.ErrUnknownOutcome, platform.ErrUnavailable},
		{Hang, platform.ErrUnknownOutcome, platform.ErrUnavailable},
		{LoseAnswer, platform.ErrUnknownOutcome, platform.ErrUnavailable},
		{Throttle, platform.ErrThrottled, platform.ErrThrottled},
		{Unreachable, platform.ErrUnavailable, platform.ErrUnavailable},
	}
	for _, test := range cases {
		t.Run("objects, "+test.fault.String(), func(t *testing.T) {
			fixture := factory(t)
			attempt := func(operation func(context.Context) error) error {
				fixture.SetFault(test.fault)
				ctx, cancel := withFaultTimeout(t, test.fault)
				defer cancel()
				return operation(ctx)
			}
			wantError(t, attempt(func(ctx context.Context) error { return fixture.Objects.Put(ctx, "a", []byte("x")) }), test.wantPut)
			wantError(t, attempt(func(ctx context.Context) error { return fixture.Objects.Delete(ctx, "a") }), test.wantPut)
			wantError(t, attempt(func(ctx context.Context) error { _, err := fixture.Objects.Get(ctx, "a"); return err }), test.wantRead)
			wantError(t, attempt(func(ctx context.Context) error { _, err := fixture.Objects.List(ctx, "a"); return err }), test.wantRead)
		})
	}
}
