package placementcontroller

import (
	"sync"

	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// stepCalendar advances the service's calendar by one step. Entries are read by majority and written
// under the lease's fencing token onto the version that was read, and moves are made onto the service
// configuration's version: a past holder can't change anything.
func (c *Controller) stepCalendar(svc *serviceController, snapshot *updatestream.Snapshot) error {
	stored, err := c.store.Read(c.process.Ctx, &wire.ReadRequest{
		Shard:  controlclient.ShardOf(svc.name),
		Key:    "calendar/" + svc.name + "/",
		Prefix: true,
	})
	if err != nil {
		return errs.Wrap(err, "read calendar")
	}
	var failures errs.Batch
	recentUsage := sync.OnceValue(c.collectUsage) // at most once a step, and only for an active entry
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

// stepEntry advances one entry of the calendar: it makes the entry's move, if one is due, and writes the
// entry if it changed. It returns false if the lease is no longer held.
func (c *Controller) stepEntry(svc *serviceController, document *wire.Document, entry *calendar.Entry,
	observation calendar.Observation, failures *errs.Batch) bool {
	next, move, changed := svc.calendarPlanner.Next(entry, observation)
	if move.Patch != nil {
		if _, ok := svc.lease.FencingToken(); !ok {
			return false
		}
		err := c.patchConfig(c.process.Ctx, move.Patch, observation.ConfigVersion, move.Token)
		switch {
		case err == nil:
			next = calendar.RecordAction(entry)
		case errs.KindOf(err) == errs.BadInput: // an operator must correct it
			next = entry
			next.State, next.Reason = calendar.StatePaused, "stopped: "+err.Error()
		default:
			failures.Add("move of "+entry.Name, err)
			return true
		}
		changed = true
	}
	if changed {
		failures.Add("write "+entry.Name, c.writeCalendarEntry(svc, document, next))
	}
	return true
}

// writeCalendarEntry writes an entry if the lease is still held.
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
		return errs.Wrap(err, "write entry")
	}
	c.process.Log.Info("calendar", "entry", entry.Name, "service", entry.Service, "state", entry.State,
		"step", entry.CurrentStep, "reason", entry.Reason)
	return nil
}

// observeCalendar gathers what an entry's next step depends on.
func (c *Controller) observeCalendar(service string, snapshot *updatestream.Snapshot, entry *calendar.Entry,
	recentUsage func() usage) calendar.Observation {
	observation := calendar.Observation{Now: c.clock.Now(), ConfigVersion: snapshot.ConfigVersion, Config: snapshot.Config}
	if entry.State == calendar.StatePlanned && entry.NotBefore != "" {
		observation.WallTime = c.medianWallClock()
	}
	recent := recentUsage()
	for _, worker := range snapshot.Workers {
		// The failures of the service that a handover leads to stop it too.
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
