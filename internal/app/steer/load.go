package steer

import (
	"time"

	"github.com/savorytiller/savorytiller/internal/core/room"
)

// addLoadGauges adds the load of the fleet as this instance knows it, by service and zone of the
// servers. Without a usable view only load_usable is set, so that old load is not taken for
// current one.
func addLoadGauges(out map[string]float64, view *room.View) {
	out["load_usable"] = 0
	if view == nil || !view.Usable {
		return
	}
	out["load_usable"] = 1
	instances := 0
	for _, n := range view.Instances {
		instances += n
	}
	out["load_instances"] = float64(instances)
	for name, service := range view.Services {
		out["load_baseline_ms_"+name] = milliseconds(service.BaseLatency)
		for zoneName, zone := range service.Zones {
			suffix := name + "_" + string(zoneName)
			out["load_slots_"+suffix] = float64(zone.Slots)
			out["load_in_progress_"+suffix] = zone.Total.InProgress
			out["load_completed_per_s_"+suffix] = zone.Total.Completed
			out["load_latency_ms_"+suffix] = milliseconds(zone.Total.MeanLatency())
		}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
