package mutation

// A member that was cut off must not act as leader on what it still holds.
var _ = register(
	mutant{point: 1, name: "a read is answered without asking a quorum",
		file:        "internal/control/consensus/core.go",
		original:    "return c.peers[m].probe >= r.probe",
		replacement: "return true",
		pkg:         "internal/control/controlstate", run: "TestSimGroup"},
)
