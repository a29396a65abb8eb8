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

// faultRecorder records a validation fault of the field at a JSON path.
type faultRecorder func(path, format string, args ...any)

// recordFaults returns a faultRecorder that adds faults of the kind errs.BadInput to a batch.
func recordFaults(batch *errs.Batch) faultRecorder {
	return func(path, format string, args ...any) {
		batch.Addf(errs.BadInput, "%s: %s", path, fmt.Sprintf(format, args...))
	}
}

// namedField is the value of a field of a retirement with its JSON key.
type namedField struct{ name, value string }

// Validate records every fault of a new retirement that can be detected without the service configuration.
// All faults are of the kind errs.BadInput.
//
// Example: r.Validate(&batch)
func (r *Retirement) Validate(batch *errs.Batch) {
	fault := recordFaults(batch)
	for _, field := range []namedField{{"name", r.Name}, {"service", r.Service}, {"from", r.OldBase}, {"to", r.NewBase}} {
		if field.value == "" || len(field.value) > maxNameLength || strings.ContainsAny(field.value, " /\x00\n") {
			fault(field.name, "invalid name %q: use 1 to %d characters without spaces, line breaks or slashes", field.value, maxNameLength)
		}
	}
	if r.OldBase == r.NewBase {
		fault("to", "new base model %q is the same as the one to retire: name a different base model", r.NewBase)
	}
	r.validateTrafficPercents(fault)
	if r.SoakSeconds < 0 || r.SoakSeconds > maxSoakSeconds {
		fault("soak_s", "soak time of %d s is out of range: use 0 to %d", r.SoakSeconds, maxSoakSeconds)
	}
	if r.MaxConcurrent < 0 {
		fault("at_once", "maximum of %d nodes that load or unload at the same time is out of range: use 1 or more, or omit the field", r.MaxConcurrent)
	}
	if r.AbortFailureRatio < 0 || r.AbortFailureRatio > 1 {
		fault("abort_at", "ratio of failed request attempts that aborts the retirement, %g, is out of range: use 0 to 1", r.AbortFailureRatio)
	}
}

func (r *Retirement) validateTrafficPercents(fault faultRecorder) {
	last := 0
	for _, percent := range r.TrafficPercents {
		if percent <= last || percent > 100 {
			fault("shares", "traffic percentages %v must rise from step to step and not exceed 100", r.TrafficPercents)
			break
		}
		last = percent
	}
	if len(r.TrafficPercents) > 0 && last != 100 {
		fault("shares", "traffic percentages %v must end with 100", r.TrafficPercents)
	}
}

// CheckConflicts returns an error of the kind errs.Conflict if another active retirement involves the same
// base model or service. The error names both retirements.
//
// Example: if err := r.CheckConflicts(others); err != nil { return err }
func (r *Retirement) CheckConflicts(others []*Retirement) error {
	for _, other := range others {
		if other.Name == r.Name && other.Service == r.Service || !other.Active() || !r.Active() {
			continue
		}
		for _, base := range []string{r.OldBase, r.NewBase} {
			if base == other.OldBase || base == other.NewBase {
				return errs.New(errs.Conflict, "retirement %q clashes with retirement %q (%s): both involve base model %s: finish or abort one of them first", r.Name, other.Name, other.State, base)
			}
		}
		if other.Service == r.Service {
			return errs.New(errs.Conflict, "retirement %q clashes with retirement %q (%s): both change the base model of service %s: finish or abort one of them first", r.Name, other.Name, other.State, r.Service)
		}
	}
	return nil
}

// ValidateConfig records every fault of a retirement in relation to the service configuration. Each fault
// names the item and the remedy; all are of the kind errs.BadInput.
//
// Example: r.ValidateConfig(config, &batch)
func (r *Retirement) ValidateConfig(config *serviceconfig.Config, batch *errs.Batch) {
	fault := recordFaults(batch)
	service, ok := config.Services[r.Service]
	if !ok {
		fault("service", "service %q is not configured: name a configured service", r.Service)
		return
	}
	for _, field := range []namedField{{"from", r.OldBase}, {"to", r.NewBase}} {
		if _, ok := config.Models[field.value]; !ok {
			fault(field.name, "base model %q is not configured: add it to models or name a configured one", field.value)
		}
	}
	if service.Model != r.OldBase {
		fault("from", "service %s has base model %s: only that one can be retired", r.Service, service.Model)
	}
	for _, name := range maputil.SortedKeys(config.Services) {
		if base := config.Services[name].Model; name != r.Service && (base == r.OldBase || base == r.NewBase) {
			fault("service", "service %s also has base model %s: move that service to another base model first, so that one retirement covers every node with the model", name, base)
		}
	}
	r.validateOldAdapters(config, fault)
	r.validateReplacements(config, fault)
	r.validateRoutes(config, fault)
	r.validateMemory(config, fault)
}

// validateOldAdapters records every adapter on the old base model that has no replacement, or that the
// workers of the service do not load.
func (r *Retirement) validateOldAdapters(config *serviceconfig.Config, fault faultRecorder) {
	for _, name := range dependentAdapters(config, r.Service, r.OldBase) {
		if r.Replacements[name] == "" {
			fault("replace."+name, "adapter %s depends on base model %s and has no replacement: name the adapter that replaces it on %s", name, r.OldBase, r.NewBase)
		}
	}
	for _, name := range maputil.SortedKeys(config.Adapters) {
		if adapter := config.Adapters[name]; adapter.BaseModel == r.OldBase && !slices.Contains(adapter.Services, r.Service) {
			fault("replace."+name, "adapter %s depends on base model %s, but workers of service %s do not load it: add the service to adapters.%s.services, or remove the adapter", name, r.OldBase, r.Service, name)
		}
	}
}

// validateReplacements records every replacement that is missing from the configuration, or that does not
// fit the new base model, the service or the tenants of the adapter that it replaces.
func (r *Retirement) validateReplacements(config *serviceconfig.Config, fault faultRecorder) {
	replacedBy := map[string]string{}
	for _, name := range maputil.SortedKeys(r.Replacements) {
		path, replacement := "replace."+name, r.Replacements[name]
		if adapter, ok := config.Adapters[name]; !ok || adapter.BaseModel != r.OldBase {
			fault(path, "%s is not an adapter on base model %s: remove the entry", name, r.OldBase)
		}
		adapter, ok := config.Adapters[replacement]
		switch {
		case replacement == "": // validateOldAdapters already records an adapter without a replacement
		case !ok:
			fault(path, "replacement %q is not configured: add it to adapters or name a configured one", replacement)
		case adapter.BaseModel != r.NewBase:
			fault(path, "replacement %s was built for base model %s: name an adapter that was built for %s", replacement, adapter.BaseModel, r.NewBase)
		case !slices.Contains(adapter.Services, r.Service):
			fault(path, "replacement %s is not loaded by workers of service %s: add the service to adapters.%s.services", replacement, r.Service, replacement)
		case replacedBy[replacement] != "":
			fault(path, "replacement %s already replaces adapter %s: name a different replacement for each adapter", replacement, replacedBy[replacement])
		}
		for _, tenant := range maputil.SortedKeys(config.Tenants) {
			if ok && config.Allows(name, tenant) && !config.Allows(replacement, tenant) {
				fault(path, "replacement %s does not allow tenant %s, which adapter %s allows: add the tenant to adapters.%s.tenants", replacement, tenant, name, replacement)
			}
		}
		replacedBy[replacement] = name
	}
}

// validateRoutes records every route that the retirement would leave without a target, every route of
// another service that still targets the old base model, and every route that is being handed over.
func (r *Retirement) validateRoutes(config *serviceconfig.Config, fault faultRecorder) {
	moves := r.routeMoves(config)
	for _, name := range maputil.SortedKeys(config.Routes) {
		path, route := "ways."+name, config.Routes[name]
		servedBy := route.DefaultTarget(name)
		newTarget, moved := moves[name]
		if moved && newTarget == "" {
			fault(path, "route would be left with no target: it is served by adapter %s, which has no replacement", servedBy)
		}
		if target, ok := config.Resolve(servedBy); ok && target.Model == r.OldBase && route.Service != r.Service {
			fault(path, "route is served by %s at service %s, which this retirement does not change: give the route another target first", servedBy, route.Service)
		}
		if moved && route.HandoverTo != "" {
			fault(path, "route is being handed over to service %s: wait until the handover has ended", route.HandoverTo)
		}
	}
}

// validateMemory records every missing memory size, and a service whose workers do not have enough memory
// for the old and the new weight set together.
func (r *Retirement) validateMemory(config *serviceconfig.Config, fault faultRecorder) {
	const missing = "missing memory size: set the memory that it takes on a worker, in MB"
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
		fault("services."+r.Service+".room", "workers have %d MB for weights, but the old and the new weight set together take %d MB: provide workers with enough memory, then update this setting", available, required)
	}
}
