package platformtest

import (
	"testing"

	"martenwheel.dev/pkg/platform"
)

// MachinesFixture is an empty list of machines with functions to change it, with
// immediate effect for readers, and to set its faults.
type MachinesFixture struct {
	Machines platform.Machines
	Put      func(platform.Machine)
	SetFault func(Fault)
}

// RunMachinesContract tests that the lists returned by factory fulfil the
// contract of platform.Machines.
func RunMachinesContract(t *testing.T, factory func(*testing.T) MachinesFixture) {
	t.Run("machines of a region", func(t *testing.T) { testMachines(t, factory(t)) })
	cases := map[Fault]error{
		Refuse:      platform.ErrUnavailable,
		Hang:        platform.ErrUnavailable,
		LoseAnswer:  platform.ErrUnavailable,
		Throttle:    platform.ErrThrottled,
		Unreachable: platform.ErrUnavailable,
	}
	for fault, want := range cases {
		t.Run("machines, "+fault.String(), func(t *testing.T) {
			fixture := factory(t)
			fixture.SetFault(fault)
			ctx, cancel := withFaultTimeout(t, fault)
			defer cancel()
			_, err := fixture.Machines.List(ctx, "uy-south")
			wantError(t, err, want)
		})
	}
}

func testMachines(t *testing.T, fixture MachinesFixture) {
	machine := platform.Machine{
		ID: "a1", Address: "127.0.0.1:9000", Service: "assistant", Zone: "a", Region: "uy-south",
		State: platform.MachineLive, Accelerator: "x", MemoryBytes: 1 << 36, Instance: "1",
	}
	elsewhere := platform.Machine{ID: "b1", Region: "gulf-south", State: platform.MachineLive}
	fixture.Put(machine)
	fixture.Put(elsewhere)
	first, err := fixture.Machines.List(t.Context(), "uy-south")
	if err != nil || len(first.Machines) != 1 || first.Machines[0] != machine {
		t.Fatalf("list %+v, error %v", first, err)
	}
	machine.State = platform.MachineLeaving
	fixture.Put(machine)
	second, err := fixture.Machines.List(t.Context(), "uy-south")
	if err != nil || len(second.Machines) != 1 || second.Machines[0] != machine {
		t.Fatalf("list %+v, error %v", second, err)
	}
	if second.Version <= first.Version || second.AsOf.Before(first.AsOf) {
		t.Errorf("version %d as of %v follows version %d as of %v", second.Version, second.AsOf, first.Version, first.AsOf)
	}
}
