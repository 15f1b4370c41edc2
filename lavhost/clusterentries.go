package lavhost

import (
	"time"

	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavmirror"
	"lavenderrack.example/lavenderrack/platform"
)

// mergeEntry decodes one entry and reports whether peers need it. The caller
// holds the lock.
func (s *clusterState) mergeEntry(e lavmirror.Entry, removalsFinal bool) bool {
	if id, ok := platform.EndpointID(e.Key); ok {
		return s.mergeEndpoint(id, e, removalsFinal)
	}
	if id, ok := platform.MemberID(e.Key); ok {
		return s.mergeMember(id, e)
	}
	if domain, ok := platform.EvacuatedDomain(e.Key); ok {
		s.mergeEvacuation(domain, !e.Removed)
		return true
	}
	if t, ok := traitOfKey(e.Key); ok {
		s.mergeBlock(t, e, removalsFinal)
		return true
	}
	if e.Key == platform.KeyConfig && !e.Removed {
		s.mergeConfig(e)
		return true
	}
	return false
}

// mergeConfig puts a newer version of the desired state in force.
func (s *clusterState) mergeConfig(e lavmirror.Entry) {
	desired, err := platform.DecodeConfig(e.Value)
	if err != nil {
		s.logger.Error().Err(err).Uint64("Revision", uint64(e.Revision)).Msg("failed to decode desired state")
		return
	}
	if previous := s.index.Load(); previous != nil && previous.Version() >= desired.Version {
		return
	}
	s.index.Store(lavconfig.NewIndex(desired))
	s.config = e
	s.logger.Info().Uint64("Version", uint64(desired.Version)).Uint64("Revision", uint64(e.Revision)).
		Int("Routes", len(desired.Routes)).Msg("applied desired state")
}

func (s *clusterState) mergeEvacuation(domain string, evacuated bool) {
	delete(s.lostEvacuations, domain)
	switch {
	case evacuated:
		s.evacuated[domain] = true
	case s.evacuated[domain] && !s.eras.settled(time.Now()):
		s.lostEvacuations[domain] = time.Now().Add(recoveryGrace)
	default:
		delete(s.evacuated, domain)
	}
	s.logger.Info().Str("FailureDomain", domain).Bool("Out", evacuated).Msg("failure domain")
}

func (s *clusterState) mergeEndpoint(id string, e lavmirror.Entry, removalsFinal bool) bool {
	if e.Removed {
		return s.removeEndpoint(id, removalsFinal)
	}
	endpoint, err := platform.DecodeEndpoint(id, e.Value)
	if err != nil {
		// An entry that can't be decoded was not written by this endpoint,
		// which counts as removed.
		s.logger.Warn().Err(err).Msg("ignoring invalid endpoint entry")
		return s.removeEndpoint(id, true)
	}
	_, wasMissing := s.missing[id]
	delete(s.missing, id)
	previous, known := s.endpoints[id]
	s.endpoints[id] = endpoint
	if endpoint.Leaving && !endpoint.StartedAt.IsZero() {
		// Only its end revokes that. The store may still come back from an older copy, which says
		// otherwise.
		s.fleet.RecordLeaving(endpoint.Incarnation())
	}
	// ColdFor changes with each heartbeat of an endpoint. Peers need not be
	// notified of that alone.
	previous.ColdFor = endpoint.ColdFor
	if known && previous == endpoint && !wasMissing {
		return false
	}
	s.logger.Info().Str("Endpoint", id).Str("Service", endpoint.Service).Bool("Leaving", endpoint.Leaving).
		Dur("ColdFor", endpoint.ColdFor).Uint64("Revision", uint64(e.Revision)).Msg("endpoint")
	return true
}

func (s *clusterState) removeEndpoint(id string, removalsFinal bool) bool {
	if _, known := s.endpoints[id]; !known {
		return false
	}
	if removalsFinal {
		delete(s.endpoints, id)
		delete(s.missing, id)
	} else if _, alreadyMissing := s.missing[id]; !alreadyMissing {
		s.missing[id] = time.Now().Add(recoveryGrace)
	}
	s.logger.Info().Str("Endpoint", id).Bool("Settled", removalsFinal).Msg("endpoint gone")
	return true
}

func (s *clusterState) mergeMember(id string, e lavmirror.Entry) bool {
	if e.Removed {
		_, known := s.members[id]
		delete(s.members, id)
		return known
	}
	m, err := decodeMember(e.Value)
	if err != nil {
		s.logger.Warn().Err(err).Str("Member", id).Msg("ignoring invalid member entry")
		return false
	}
	previous, known := s.members[id]
	s.members[id] = m
	return !known || previous != m
}
