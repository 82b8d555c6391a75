package admin

import (
	"fmt"

	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/core/view"
)

// NotReadyReason returns why callers must use other instances, or ReasonNone if
// this instance is ready.
func NotReadyReason(v *view.View, now model.Time) model.Reason {
	switch {
	case !v.Ready():
		return model.ReasonNoConfiguration
	case v.ShuttingDown:
		return model.ReasonShuttingDown
	case !v.Fresh(now):
		return model.ReasonStaleView
	default:
		return model.ReasonNone
	}
}

// status completes the fields of Source.Status with those from the view.
func (s Source) status() Status {
	out := s.Status()
	v, now := s.Views.View(), s.Clock.Now()
	if reason := NotReadyReason(v, now); reason != model.ReasonNone {
		out.ReadyReason = reason.String()
	} else {
		out.Ready = true
	}
	out.WithdrawnZones, out.Servers, out.Services = []string{}, []Server{}, []Service{}
	if v == nil {
		return out
	}
	out.View = View{Sequence: v.Sequence, FreshForMs: max(0, v.FreshUntil.Sub(now).Milliseconds())}
	if out.Members == nil {
		out.Members = viewMembers(v)
	}
	if v.Config == nil {
		return out
	}
	out.Note.Version, out.Note.Digest = uint64(v.Config.Version), fmt.Sprintf("%016x", v.Config.Digest)
	for _, zone := range v.Config.WithdrawnZones {
		out.WithdrawnZones = append(out.WithdrawnZones, string(zone))
	}
	for i := range v.Config.Services {
		service := &v.Config.Services[i]
		out.Services = append(out.Services, viewService(v, service))
		for j := range service.Servers {
			out.Servers = append(out.Servers, viewServer(v, service, &service.Servers[j]))
		}
	}
	return out
}

func viewMembers(v *view.View) []Member {
	out := []Member{}
	if v.Members == nil {
		return out
	}
	for _, m := range v.Members.All() {
		out = append(out, NewMember(m, ""))
	}
	return out
}

// NewMember returns the entry of a member; why explains its liveness.
func NewMember(m model.Member, why string) Member {
	return Member{ID: string(m.ID), Zone: string(m.Zone), Incarnation: uint64(m.Incarnation),
		Liveness: m.Liveness.String(), Why: why, FlowAddress: m.FlowAddress.String(),
		PeerAddress: m.PeerAddress.String(), RequestAddress: m.RequestAddress.String()}
}

func viewService(v *view.View, s *model.Service) Service {
	out := Service{ID: uint32(s.ID), Name: s.Name, VirtualAddress: s.VirtualAddress.String(), Host: s.Host,
		Generations: []uint64{}}
	if history := v.Tables[s.ID]; history != nil {
		for _, g := range history.Generations {
			out.Generations = append(out.Generations, uint64(g.Version))
		}
	}
	return out
}

func viewServer(v *view.View, service *model.Service, server *model.Server) Server {
	out := Server{ID: string(server.ID), Service: service.Name, Zone: string(server.Zone), State: server.State.String()}
	state := v.Servers[server.ID]
	if state == nil {
		out.Reason = model.ReasonZoneWithdrawn.String()
		return out
	}
	out.Warmth, out.Reason, out.NewWork = state.Warmth.String(), state.Reason.String(), state.NewWork
	out.SlotsHeld, out.SlotLimit, out.ConnectionLimit = len(state.Slots), state.SlotLimit, state.ConnectionLimit
	if v.Members == nil || state.Warmth == view.Warm {
		return out
	}
	if home := v.Members.Home(server.ID, server.Zone); home != nil {
		out.Home = string(home.ID)
	}
	return out
}
