package operatorcli

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/savorytiller/savorytiller/internal/adapter/steerstatus"
)

// beliefsCommand shows the view of a savorysteer instance: its configuration, how far it goes
// with the registry, entries that it cannot use, and the servers with their state and the age
// of the last probe and what all instances observed of it.
type beliefsCommand struct{ statusFilter }

// Run shows the status of the instance. It returns errRefused if the instance is not
// ready.
func (c *beliefsCommand) Run(r *commandEnv) error {
	var s steerstatus.Status
	if err := r.client.get(steerstatus.StatusPath, c.query(), &s); err != nil {
		return err
	}
	err := r.print(&s, func(w io.Writer) {
		age := time.Duration(s.ConfirmedMsAgo) * time.Millisecond
		fmt.Fprintf(w, "instance %s in %s: ready %v, configuration %d with %d routes, confirmed %v ago, %d instances in the zone, cut off %v, %d flows\n",
			s.Instance, s.Zone, s.Ready, s.Version, s.Routes, age, s.InstancesInZone, s.CutOff, s.Flows)
		restored := "no restore seen"
		if s.RestoredMsAgo >= 0 {
			restored = fmt.Sprintf("restored from a copy %v ago", time.Duration(s.RestoredMsAgo)*time.Millisecond)
		}
		fmt.Fprintf(w, "registry epoch %d, revision %d, %s, %d zones held out of service\n", s.RegistryEpoch, s.RegistryRevision, restored, s.HeldZones)
		for i := range s.UnusableEntries {
			x := &s.UnusableEntries[i]
			fmt.Fprintf(w, "  unusable entry %s, revision %d, seen %v ago: %s\n", x.Key, x.Revision, time.Duration(x.SeenMsAgo)*time.Millisecond, x.Reason)
		}
		t := newTable(w, "SERVER", "SERVICE", "ZONE", "ADDRESS", "STATE", "LAST PROBE", "SLOTS", "IN PROGRESS", "RELATIVE TIME", "FAILED", "SAMPLES", "LOAD AGE", "FLOWS HERE", "RESTRICTION")
		for i := range s.Servers {
			x := &s.Servers[i]
			probed := "never probed"
			if x.ProbedMsAgo >= 0 {
				probed = "probed " + formatAgo(x.ProbedMsAgo)
			}
			t.row(slices.Concat([]any{x.ID, x.Service, x.Zone, x.Address, x.State, probed, x.Slots}, loadColumns(x.Load), trafficColumns(x.Traffic))...)
		}
		t.flush()
		printCut(w, "servers", len(s.Servers), s.ServersTotal)
	})
	if err == nil && !s.Ready {
		return errRefused
	}
	return err
}
