package lavload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"lavenderrack.example/lavenderrack/lavclient"
	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavrelease"
	"lavenderrack.example/lavenderrack/lavscenario"
	"lavenderrack.example/lavenderrack/lavstore"

	"github.com/cockroachdb/errors"
)

// StandinFaults injects faults into a system whose engines, servers and
// key-value service are stand-ins: fakes of package lavfake that run as separate
// processes. It withdraws and adds failure domains by publishing release notes.
// All other faults go through the control path of the stand-ins, whose addresses
// it reads from the current release.
type StandinFaults struct {
	client *http.Client
	// base is the URL of the key-value service.
	base  string
	store lavstore.Store
}

// NewStandinFaults returns a StandinFaults for the system whose key-value
// service has the URL base.
func NewStandinFaults(client *http.Client, base string) *StandinFaults {
	return &StandinFaults{client: client, base: base, store: lavstore.NewHTTP(client, base)}
}

// slowStoreDelay is the delay that FaultStoreSlow adds to each store call.
const slowStoreDelay = lavrelease.Duration(2 * time.Second)

// Begin injects the fault. It implements Faults.
func (s *StandinFaults) Begin(ctx context.Context, f lavscenario.Fault) error {
	switch f.Kind {
	case lavscenario.FaultDomainOut:
		return s.publish(ctx, &lavrelease.Note{Withdraw: lavrelease.Names{FailureDomains: []string{f.Target}}})
	case lavscenario.FaultStoreDown:
		return s.sendControl(ctx, s.base, lavfake.Control{Down: true})
	case lavscenario.FaultStoreSlow:
		return s.sendControl(ctx, s.base, lavfake.Control{Delay: slowStoreDelay})
	case lavscenario.FaultRepliesLost:
		return s.sendControl(ctx, s.base, lavfake.Control{LoseReplies: true})
	case lavscenario.FaultEngineDies:
		return s.controlEndpoint(ctx, f, true, lavfake.Control{Die: true})
	case lavscenario.FaultServerDies:
		return s.controlEndpoint(ctx, f, false, lavfake.Control{LoseReplies: true})
	default:
		return errors.Newf("%v can't be brought about from outside", f.Kind)
	}
}

// End reverts the fault, if its kind has a duration. It implements Faults.
func (s *StandinFaults) End(ctx context.Context, f lavscenario.Fault) error {
	switch f.Kind {
	case lavscenario.FaultDomainOut:
		return s.restoreDomain(ctx, f.Target)
	case lavscenario.FaultStoreDown, lavscenario.FaultStoreSlow, lavscenario.FaultRepliesLost:
		return s.sendControl(ctx, s.base, lavfake.Control{})
	case lavscenario.FaultServerDies:
		return s.controlEndpoint(ctx, f, false, lavfake.Control{})
	default:
		return nil
	}
}

// restoreDomain publishes a release that adds a withdrawn failure domain again,
// unchanged.
func (s *StandinFaults) restoreDomain(ctx context.Context, name string) error {
	state, err := lavrelease.Load(ctx, s.store)
	if err != nil {
		return err
	}
	for _, d := range state.FailureDomains {
		if d.Name == name {
			return s.publish(ctx, &lavrelease.Note{Add: lavrelease.Items{FailureDomains: []lavrelease.FailureDomain{d}}})
		}
	}
	return errors.Newf("failure domain %s is not in the release", name)
}

// maxPublishAttempts is the maximum number of attempts to publish a note.
// Concurrent publications by other operators cause conflicts.
const maxPublishAttempts = 5

// publish publishes a note based on the current head, and retries on conflicts.
func (s *StandinFaults) publish(ctx context.Context, n *lavrelease.Note) error {
	n.ID = "load-" + lavclient.NewKey()
	for attempt := 1; ; attempt++ {
		state, err := lavrelease.Load(ctx, s.store)
		if err != nil {
			return err
		}
		n.Base = state.Version
		_, err = lavrelease.Publish(ctx, s.store, n)
		if !errors.Is(err, lavrelease.ErrConflict) || attempt == maxPublishAttempts {
			return err
		}
	}
}

// controlEndpoint sends a control request to an engine, or to a server of a
// plain service. The target of the fault is the endpoint's index in the
// release, counted from 0 among endpoints of the same type.
func (s *StandinFaults) controlEndpoint(ctx context.Context, f lavscenario.Fault, engine bool, c lavfake.Control) error {
	index, err := strconv.Atoi(f.Target)
	if err != nil || index < 0 {
		return errors.Newf("target %q of %v: want the number of an endpoint, from 0", f.Target, f.Kind)
	}
	state, err := lavrelease.Load(ctx, s.store)
	if err != nil {
		return err
	}
	for _, e := range state.Endpoints {
		if (e.Service == "") != engine {
			continue
		}
		if index == 0 {
			return s.sendControl(ctx, "http://"+e.Addr.String(), c)
		}
		index--
	}
	return errors.Newf("target %q of %v: the release has no such endpoint", f.Target, f.Kind)
}

// sendControl sends a control request to the stand-in with the URL base.
func (s *StandinFaults) sendControl(ctx context.Context, base string, c lavfake.Control) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+lavfake.ControlPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	answer, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%s is not a stand-in: status %d", base, answer.StatusCode)
	}
	return nil
}
