package retire

import (
	"fmt"
	"slices"
	"strings"

	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/maputil"
)

// Limits of a retirement's fields.
const (
	maxNameLength  = 64
	maxSoakSeconds = 24 * 60 * 60
)

// faultRecorder records a fault of a field, under the field's JSON path.
type faultRecorder func(path, format string, args ...any)

func recordFaults(batch *errs.Batch) faultRecorder {
	return func(path, format string, args ...any) {
		batch.Addf(errs.BadInput, "%s: %s", path, fmt.Sprintf(format, args...))
	}
}

// namedField is a field's value with its JSON name.
type namedField struct{ name, value string }

// Validate records every fault of a new retirement that shows without the service configuration. All
// are of the kind errs.BadInput.
//
// Example: r.Validate(&batch)
func (r *Retirement) Validate(batch *errs.Batch) {
	fault := recordFaults(batch)
	for _, field := range []namedField{{"name", r.Name}, {"service", r.Service}, {"from", r.OldBase}, {"to", r.NewBase}} {
		if field.value == "" || len(field.value) > maxNameLength || strings.ContainsAny(field.value, " /\x00\n") {
			fault(field.name, "%q: give a word of 1 to %d letters without spaces or slashes", field.value, maxNameLength)
		}
	}
	if r.OldBase == r.NewBase {
		fault("to", "%q is the base that is retired: name another", r.NewBase)
	}
	r.validateTrafficPercents(fault)
	if r.SoakSeconds < 0 || r.SoakSeconds > maxSoakSeconds {
		fault("soak_s", "%d: give 0 to %d", r.SoakSeconds, maxSoakSeconds)
	}
	if r.MaxConcurrent < 0 {
		fault("at_once", "%d: give 1 or more, or leave it out", r.MaxConcurrent)
	}
	if r.AbortFailureRatio < 0 || r.AbortFailureRatio > 1 {
		fault("abort_at", "%g: give a share from 0 to 1", r.AbortFailureRatio)
	}
}

func (r *Retirement) validateTrafficPercents(fault faultRecorder) {
	last := 0
	for _, percent := range r.TrafficPercents {
		if percent <= last || percent > 100 {
			fault("shares", "%v: give rising percents", r.TrafficPercents)
			break
		}
		last = percent
	}
	if len(r.TrafficPercents) > 0 && last != 100 {
		fault("shares", "%v: end with 100", r.TrafficPercents)
	}
}

// CheckConflicts returns an error of the kind errs.Conflict if another active retirement involves the
// same base model or service; both are named.
//
// Example: if err := r.CheckConflicts(others); err != nil { return err }
func (r *Retirement) CheckConflicts(others []*Retirement) error {
	for _, other := range others {
		if other.Name == r.Name && other.Service == r.Service || !other.Active() || !r.Active() {
			continue
		}
		for _, base := range []string{r.OldBase, r.NewBase} {
			if base == other.OldBase || base == other.NewBase {
				return errs.New(errs.Conflict, "retirement %q clashes with retirement %q (%s): both take base model %s: end or abort one first", r.Name, other.Name, other.State, base)
			}
		}
		if other.Service == r.Service {
			return errs.New(errs.Conflict, "retirement %q clashes with retirement %q (%s): both move service %s: end or abort one first", r.Name, other.Name, other.State, r.Service)
		}
	}
	return nil
}

// ValidateConfig records every fault of a retirement against the service configuration. Each names the
// item and the remedy; all are of the kind errs.BadInput.
//
// Example: r.ValidateConfig(config, &batch)
func (r *Retirement) ValidateConfig(config *serviceconfig.Config, batch *errs.Batch) {
	fault := recordFaults(batch)
	service, ok := config.Services[r.Service]
	if !ok {
		fault("service", "%q is not among services: name one that is", r.Service)
		return
	}
	for _, field := range []namedField{{"from", r.OldBase}, {"to", r.NewBase}} {
		if _, ok := config.Models[field.value]; !ok {
			fault(field.name, "%q is not among models: add it there or name another", field.value)
		}
	}
	if service.Model != r.OldBase {
		fault("from", "service %s has base model %s: name that one", r.Service, service.Model)
	}
	for _, name := range maputil.SortedKeys(config.Services) {
		if base := config.Services[name].Model; name != r.Service && (base == r.OldBase || base == r.NewBase) {
			fault("service", "service %s has base model %s as well: hand it over first, so that one retirement holds for all its nodes", name, base)
		}
	}
	r.validateOldAdapters(config, fault)
	r.validateReplacements(config, fault)
	r.validateRoutes(config, fault)
	r.validateMemory(config, fault)
}

// validateOldAdapters records every adapter on the old base that would be left without a replacement, or
// that no worker of the service has loaded.
func (r *Retirement) validateOldAdapters(config *serviceconfig.Config, fault faultRecorder) {
	for _, name := range dependentAdapters(config, r.Service, r.OldBase) {
		if r.Replacements[name] == "" {
			fault("replace."+name, "adapter %s depends on %s and has no replacement: name the adapter that was built for %s", name, r.OldBase, r.NewBase)
		}
	}
	for _, name := range maputil.SortedKeys(config.Adapters) {
		if adapter := config.Adapters[name]; adapter.BaseModel == r.OldBase && !slices.Contains(adapter.Services, r.Service) {
			fault("replace."+name, "adapter %s depends on %s and is held by no worker of %s: add the service to adapters.%s.services, or take the adapter out", name, r.OldBase, r.Service, name)
		}
	}
}

// validateReplacements records every replacement that doesn't fit the adapter that it replaces.
func (r *Retirement) validateReplacements(config *serviceconfig.Config, fault faultRecorder) {
	replacedBy := map[string]string{}
	for _, name := range maputil.SortedKeys(r.Replacements) {
		path, replacement := "replace."+name, r.Replacements[name]
		if adapter, ok := config.Adapters[name]; !ok || adapter.BaseModel != r.OldBase {
			fault(path, "%s is no adapter on %s: leave it out", name, r.OldBase)
		}
		adapter, ok := config.Adapters[replacement]
		switch {
		case replacement == "": // recorded with the old adapters
		case !ok:
			fault(path, "%q is not among adapters: add it there or name another", replacement)
		case adapter.BaseModel != r.NewBase:
			fault(path, "%s was built for %s: name one that was built for %s", replacement, adapter.BaseModel, r.NewBase)
		case !slices.Contains(adapter.Services, r.Service):
			fault(path, "%s isn't held by service %s: add it to adapters.%s.services", replacement, r.Service, replacement)
		case replacedBy[replacement] != "":
			fault(path, "%s replaces %s already: name one for each", replacement, replacedBy[replacement])
		}
		for _, tenant := range maputil.SortedKeys(config.Tenants) {
			if ok && config.Allows(name, tenant) && !config.Allows(replacement, tenant) {
				fault(path, "%s isn't for tenant %s, which %s is for: add the tenant to adapters.%s.tenants", replacement, tenant, name, replacement)
			}
		}
		replacedBy[replacement] = name
	}
}

// validateRoutes records every route that would be left without a model, including those of other services.
func (r *Retirement) validateRoutes(config *serviceconfig.Config, fault faultRecorder) {
	moves := r.routeMoves(config)
	for _, name := range maputil.SortedKeys(config.Routes) {
		path, route := "ways."+name, config.Routes[name]
		answeredBy := route.DefaultTarget(name)
		newTarget, moved := moves[name]
		if moved && newTarget == "" {
			fault(path, "it would be left with no model: %s answers it and has no replacement", answeredBy)
		}
		if target, ok := config.Resolve(answeredBy); ok && target.Model == r.OldBase && route.Service != r.Service {
			fault(path, "it is answered by %s at service %s: lead it elsewhere first", answeredBy, route.Service)
		}
		if moved && route.HandoverTo != "" {
			fault(path, "it is being handed over to service %s: let that end first", route.HandoverTo)
		}
	}
}

// validateMemory records missing memory sizes, and workers without memory for both sets.
func (r *Retirement) validateMemory(config *serviceconfig.Config, fault faultRecorder) {
	const missing = "missing: say what it takes of a worker's memory, in MB"
	oldSet, newSet := r.oldAndNewSets(config)
	for _, set := range []WeightSet{oldSet, newSet} {
		if set.MemoryMB == 0 {
			fault("models."+set.Base+".room", missing)
		}
		for _, adapter := range set.Adapters {
			if adapter.MemoryMB == 0 && adapter.Name != "" {
				fault("adapters."+adapter.Name+".room", missing)
			}
		}
	}
	required, available := oldSet.TotalMemoryMB()+newSet.TotalMemoryMB(), config.Services[r.Service].WorkerMemoryMB
	if available < required {
		fault("services."+r.Service+".room", "%d MB a worker, and both sets take %d: give workers with that room, then say so there", available, required)
	}
}
