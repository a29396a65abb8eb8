package placementcontroller

import (
	"sync"

	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// stepCalendar advances each active calendar entry of the service by one step. Entries are read from a
// majority, and written under the lease's fencing token and only onto the version that was read. Patches
// apply only to the observed version of the service configuration. A previous lease holder can therefore
// change nothing.
func (c *Controller) stepCalendar(svc *serviceController, snapshot *updatestream.Snapshot) error {
	stored, err := c.store.Read(c.process.Ctx, &wire.ReadRequest{
		Shard:  controlclient.ShardOf(svc.name),
		Key:    "calendar/" + svc.name + "/",
		Prefix: true,
	})
	if err != nil {
		return errs.Wrap(err, "read calendar entries of the service")
	}
	var failures errs.Batch
	recentUsage := sync.OnceValue(c.collectUsage) // queries the node agents at most once per step, and only if an entry is active
	for _, document := range stored.Documents {
		entry, err := calendar.Decode(document.Body)
		if failures.Add(document.Key, err); err != nil || !entry.Active() || entry.State == calendar.StatePaused {
			continue
		}
		observation := c.observeCalendar(svc.name, snapshot, entry, recentUsage)
		observation.EntryVersion = document.Version
		if !c.stepEntry(svc, document, entry, observation, &failures) {
			break
		}
	}
	return failures.Err()
}

// stepEntry advances one calendar entry: it applies the entry's patch of the service configuration, if one
// is due, and writes the entry if it changed. It returns false if the lease is no longer held.
func (c *Controller) stepEntry(svc *serviceController, document *wire.Document, entry *calendar.Entry,
	observation calendar.Observation, failures *errs.Batch) bool {
	next, action, changed := svc.calendarPlanner.Next(entry, observation)
	if action.Patch != nil {
		if _, ok := svc.lease.FencingToken(); !ok {
			return false
		}
		err := c.patchConfig(c.process.Ctx, action.Patch, observation.ConfigVersion, action.Token)
		switch {
		case err == nil:
			next = calendar.RecordAction(entry)
		case errs.KindOf(err) == errs.BadInput: // the patch is invalid, and an operator must correct the entry
			next = entry
			next.State, next.Reason = calendar.StatePaused, "stopped: "+err.Error()
		default:
			failures.Add("patch service configuration for calendar entry "+entry.Name, err)
			return true
		}
		changed = true
	}
	if changed {
		failures.Add("calendar entry "+entry.Name, c.writeCalendarEntry(svc, document, next))
	}
	return true
}

// writeCalendarEntry writes a calendar entry if the lease is still held, and logs its progress.
func (c *Controller) writeCalendarEntry(svc *serviceController, document *wire.Document, entry *calendar.Entry) error {
	token, ok := svc.lease.FencingToken()
	if !ok {
		return nil
	}
	body, err := entry.Encode()
	if err != nil {
		return err
	}
	if _, err := c.writeDocument(svc, token, document.Key, body, document.Version); err != nil {
		return errs.Wrap(err, "write calendar entry")
	}
	c.process.Log.Info("calendar", "entry", entry.Name, "service", entry.Service, "state", entry.State,
		"step", entry.CurrentStep, "reason", entry.Reason)
	return nil
}

// observeCalendar gathers the input of the next step of a calendar entry.
func (c *Controller) observeCalendar(service string, snapshot *updatestream.Snapshot, entry *calendar.Entry,
	recentUsage func() usage) calendar.Observation {
	observation := calendar.Observation{Now: c.clock.Now(), ConfigVersion: snapshot.ConfigVersion, Config: snapshot.Config}
	if entry.State == calendar.StatePlanned && entry.NotBefore != "" {
		observation.WallTime = c.medianWallClock()
	}
	recent := recentUsage()
	for _, worker := range snapshot.Workers {
		// Failed attempts at the service that takes over the route count as well, and can pause the handover.
		receiving := entry.Kind == calendar.KindHandover && worker.Service == entry.ToService
		if worker.Service != service && !receiving {
			continue
		}
		observation.Succeeded += recent.succeeded[worker.Name]
		observation.Failed += recent.failed[worker.Name]
		if worker.Service == service {
			observation.Workers = append(observation.Workers, calendar.Worker{
				Name:            worker.Name,
				Incarnation:     worker.Incarnation,
				Weights:         worker.Weights,
				AcceptsRequests: worker.State == updatestream.WorkerUp,
				Reachable:       worker.State < updatestream.WorkerGone,
			})
		}
	}
	return observation
}
