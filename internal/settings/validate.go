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

// validator collects the errors in settings. The message of each begins with the source of the settings: the name of a
// file, or "flags".
type validator struct {
	source string
	faults *errs.Batch
}

func (v validator) invalid(field, format string, args ...any) {
	v.faults.Addf(errs.BadInput, v.source+": "+field+": "+format, args...)
}

func (v validator) address(field, value string, required bool) {
	if value == "" && !required {
		return
	}
	if addr, err := netip.ParseAddrPort(value); err != nil || addr.Port() == 0 {
		v.invalid(field, "%q is not an address: give a numeric IP:port, with a port from 1 on", value)
	}
}

func (v validator) inRange(field string, value, low, high int) {
	if value < low || value > high {
		v.invalid("bounds."+field, "value %d is out of range: give %d to %d", value, low, high)
	}
}

// Validate adds an error to faults for each invalid setting and for each required one that is missing. Each error
// begins with the source of the settings.
//
// Example: settings.Validate(&process, settings.Required{Data: true}, "core-1.json", &faults)
func Validate(process *Process, required Required, source string, faults *errs.Batch) {
	v := validator{source, faults}
	if process.Name == "" || strings.ContainsAny(process.Name, " ,/\x00") {
		v.invalid("name", "%q is not a valid name: give one without spaces, commas and slashes", process.Name)
	}
	if process.Zone == "" {
		v.invalid("district", "required setting is missing: set it to the zone of this machine")
	}
	v.address("listen", process.Listen, true)
	v.address("tell", process.Advertise, false)
	v.address("public", process.Public, required.Public)
	v.address("operator", process.Operator, required.Operator)
	v.address("runner", process.NodeAgent, required.NodeAgent)
	v.address("rank", process.WorkerList, required.WorkerList)
	if n := len(process.OperatorKey); n != 0 && (n < minOperatorKeyLength || n > maxOperatorKeyLength || strings.ContainsAny(process.OperatorKey, " \t\r\n")) {
		v.invalid("operator_key", "invalid operator key of %d characters: give %d to %d characters without white space, or no key", n, minOperatorKeyLength, maxOperatorKeyLength)
	}
	if required.Seeds && len(process.Seeds) != seedCount {
		v.invalid("seeds", "%d given, want the addresses (IP:port) of three other processes", len(process.Seeds))
	}
	for _, seed := range process.Seeds {
		v.address("seeds", seed, true)
	}
	if required.Core && len(process.Core) != coreCount {
		v.invalid("core", "%d given, want the names of the four core machines", len(process.Core))
	}
	if required.Data && process.Data == "" {
		v.invalid("data", "required setting is missing: set it to a directory on this machine's disk")
	}
	v.bounds(process.Bounds)
}

func (v validator) bounds(b Bounds) {
	v.inRange("setup_ms", b.ConfigMs, 200, 60000)
	v.inRange("key_ms", b.KeyRevocationMs, b.ConfigMs, 120000)
	v.inRange("leave_ms", b.LeaveMs, 300, 60000)
	v.inRange("weights_ms", b.WeightsMs, b.ConfigMs, 600000)
	v.inRange("heal_ms", b.RecoveryMs, 1000, 600000)
	v.inRange("try_share", b.RetryPercent, 0, 100)
	v.inRange("try_span_ms", b.RetryWindowMs, 1000, 600000)
	v.inRange("try_allow", b.RetryAllowance, 0, 10000)
	v.inRange("once_ms", b.RequestIDRetentionMs, 600000, 86400000) // the minimum retention of request IDs, 10 min, is longer than any request takes
	if b.RecoveryMs > 0 && b.handoverGap() < b.Recovery(OrderTimeoutRatio)/4 {
		v.invalid("bounds.heal_ms", "recovery time limit of %d ms is too short: the last order of a lease holder could arrive after the first order of the next holder", b.RecoveryMs)
	}
	v.inRange("body_kb", b.MaxBodyKB, 1, 16384)
	v.inRange("waiting", b.MaxConcurrentRequests, 1, 65536)
	v.inRange("entries", b.MaxIndexEntries, 100, 10000000)
}
