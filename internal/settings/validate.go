package settings

import (
	"net/netip"
	"strings"

	"pebbleloom/internal/errs"
)

const (
	seedCount            = 3
	coreCount            = 4
	minOperatorKeyLength = 16
	maxOperatorKeyLength = 128
)

// validator adds faults under the name of the source that the settings come from.
type validator struct {
	source string
	faults *errs.Batch
}

func (v validator) fault(field, format string, args ...any) {
	v.faults.Addf(errs.BadInput, v.source+": "+field+": "+format, args...)
}

func (v validator) address(field, value string, required bool) {
	if value == "" && !required {
		return
	}
	if addr, err := netip.ParseAddrPort(value); err != nil || addr.Port() == 0 {
		v.fault(field, "%q: give IP:port, by number", value)
	}
}

func (v validator) inRange(field string, value, low, high int) {
	if value < low || value > high {
		v.fault("bounds."+field, "%d: give %d to %d", value, low, high)
	}
}

// Validate adds every fault of the settings to faults, under the name of their source.
//
// Example: settings.Validate(&process, settings.Required{Data: true}, "core-1.json", &faults)
func Validate(process *Process, required Required, source string, faults *errs.Batch) {
	v := validator{source, faults}
	if process.Name == "" || strings.ContainsAny(process.Name, " ,/\x00") {
		v.fault("name", "%q: give a word without spaces, commas or slashes", process.Name)
	}
	if process.Zone == "" {
		v.fault("district", "missing: name the zone that this machine is in")
	}
	v.address("listen", process.Listen, true)
	v.address("tell", process.Advertise, false)
	v.address("public", process.Public, required.Public)
	v.address("operator", process.Operator, required.Operator)
	v.address("runner", process.NodeAgent, required.NodeAgent)
	v.address("rank", process.WorkerList, required.WorkerList)
	if n := len(process.OperatorKey); n != 0 && (n < minOperatorKeyLength || n > maxOperatorKeyLength || strings.ContainsAny(process.OperatorKey, " \t\r\n")) {
		v.fault("operator_key", "%d letters: give %d to %d without spaces, or none", n, minOperatorKeyLength, maxOperatorKeyLength)
	}
	if required.Seeds && len(process.Seeds) != seedCount {
		v.fault("seeds", "%d given: give three addresses of other processes", len(process.Seeds))
	}
	for _, seed := range process.Seeds {
		v.address("seeds", seed, true)
	}
	if required.Core && len(process.Core) != coreCount {
		v.fault("core", "%d given: name the four core machines", len(process.Core))
	}
	if required.Data && process.Data == "" {
		v.fault("data", "missing: name the data folder on this machine's disk")
	}
	v.bounds(process.Bounds)
}

func (v validator) bounds(b Bounds) {
	v.inRange("setup_ms", b.ConfigMs, 200, 60000)
	v.inRange("key_ms", b.KeyRevocationMs, b.ConfigMs, 120000)
	v.inRange("leave_ms", b.LeaveMs, 300, 60000)
	v.inRange("weights_ms", b.WeightsMs, b.ConfigMs, 600000)
	v.inRange("heal_ms", b.HealMs, 1000, 600000)
	v.inRange("try_share", b.RetryPercent, 0, 100)
	v.inRange("try_span_ms", b.RetryWindowMs, 1000, 600000)
	v.inRange("try_allow", b.RetryAllowance, 0, 10000)
	v.inRange("once_ms", b.RequestIDRetentionMs, 600000, 86400000) // no request waits longer than the minimum
	if b.HealMs > 0 && b.handoverGap() < b.Heal(OrderTimeoutRatio)/4 {
		v.fault("bounds.heal_ms", "%d: an order could land after the next holder's first: give more", b.HealMs)
	}
	v.inRange("body_kb", b.MaxBodyKB, 1, 16384)
	v.inRange("waiting", b.MaxConcurrentRequests, 1, 65536)
	v.inRange("entries", b.MaxIndexEntries, 100, 10000000)
}
