package proxy

import (
	"shallotcourse/internal/chain"
	"shallotcourse/internal/sched"
)

// updateRanks gives the scheduler the ranks of the configuration, if that has changed.
func (s *Server) updateRanks() {
	config := s.Configs.Section().Value()
	if s.rankedVersion.Swap(config.Version) != config.Version {
		s.Sched.Configure(config.Version, sched.Classes(config.Config))
	}
}

// class returns the class by which the request is ranked.
func (q *request) class() sched.Class {
	return sched.Class{Priority: q.priority, Objective: q.route.Objective}
}

// need returns what the scheduler has to know of the stream.
func (s *stream) need() sched.Request {
	return sched.Request{Class: s.class(), Need: float64(s.tokens * s.service.Model.Layers)}
}

// limits returns the limits of the targets that the request may be sent to. Requests
// that have begun are treated as those of services without ranks.
func (s *stream) limits(candidates []chain.Candidate) sched.Limits {
	if s.begun || !s.Sched.Ranked(s.service.Name) {
		return sched.Base(s.route.Objective)
	}
	others, _ := s.LoadLag()
	return s.Sched.Room(s.service.Name, s.need(), sched.Fleet{Gateways: others + 1, Capacity: chain.Capacity(s.service.Model, candidates)})
}

// RankStatus returns the ranks of the services with unequal priorities.
func (s *Server) RankStatus() []sched.RankStatus {
	s.updateRanks()
	others, _ := s.LoadLag()
	config, fleet := s.Configs.Section().Value(), s.Fleets.Section().Value()
	return s.Sched.Status(func(name string) sched.Fleet {
		service, _ := config.Service(name)
		if service.Model == nil {
			return sched.Fleet{Gateways: others + 1}
		}
		var candidates []chain.Candidate
		for _, t := range fleet.ServiceTargets(name) {
			candidates = append(candidates, chain.Candidate{Target: t})
		}
		return sched.Fleet{Gateways: others + 1, Capacity: chain.Capacity(service.Model, candidates)}
	})
}
