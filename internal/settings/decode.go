package settings

import (
	"encoding/json"
	"strings"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/maputil"
)

// Decode decodes a JSON settings file into process. It adds an error to faults for each unknown field and for each
// value of the wrong type.
//
// Example: settings.Decode(raw, "edge-1.json", &process, &faults)
func Decode(raw []byte, file string, process *Process, faults *errs.Batch) {
	var top map[string]json.RawMessage
	if err := json.Unmarshal(raw, &top); err != nil {
		faults.Addf(errs.BadInput, "%s: not a JSON object (%v): write one with the fields `name`, `district`, `listen`, `seeds`", file, err)
		return
	}
	fields := map[string]any{"name": &process.Name, "district": &process.Zone, "listen": &process.Listen, "tell": &process.Advertise, "public": &process.Public,
		"operator": &process.Operator, "operator_key": &process.OperatorKey, "seeds": &process.Seeds, "core": &process.Core, "data": &process.Data,
		"runner": &process.NodeAgent, "rank": &process.WorkerList, "extra": &process.Options}
	var bounds map[string]json.RawMessage
	for _, key := range maputil.SortedKeys(top) {
		if key == "bounds" {
			if err := json.Unmarshal(top[key], &bounds); err != nil {
				faults.Addf(errs.BadInput, "%s: bounds: not a JSON object: write for example {\"setup_ms\": 2000, …}", file)
			}
			continue
		}
		field, known := fields[key]
		if !known {
			faults.Addf(errs.BadInput, "%s: %s: unknown field: remove it (known: %s)", file, key, strings.Join(maputil.SortedKeys(fields), " "))
			continue
		}
		if err := json.Unmarshal(top[key], field); err != nil {
			faults.Addf(errs.BadInput, "%s: %s: wrong type (%v): see `docs/operate.md`", file, key, err)
		}
	}
	decodeBounds(bounds, file, &process.Bounds, faults)
}

func decodeBounds(raw map[string]json.RawMessage, file string, b *Bounds, faults *errs.Batch) {
	fields := map[string]*int{"setup_ms": &b.ConfigMs, "key_ms": &b.KeyRevocationMs, "leave_ms": &b.LeaveMs,
		"weights_ms": &b.WeightsMs, "heal_ms": &b.RecoveryMs, "try_share": &b.RetryPercent, "try_span_ms": &b.RetryWindowMs,
		"try_allow": &b.RetryAllowance, "once_ms": &b.RequestIDRetentionMs, "body_kb": &b.MaxBodyKB,
		"waiting": &b.MaxConcurrentRequests, "entries": &b.MaxIndexEntries}
	for _, key := range maputil.SortedKeys(raw) {
		field, known := fields[key]
		if !known {
			faults.Addf(errs.BadInput, "%s: bounds.%s: unknown field: remove it (known: %s)", file, key, strings.Join(maputil.SortedKeys(fields), " "))
		} else if err := json.Unmarshal(raw[key], field); err != nil {
			faults.Addf(errs.BadInput, "%s: bounds.%s: %s is not an integer: give a whole number", file, key, raw[key])
		}
	}
}
