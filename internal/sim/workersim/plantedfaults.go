package workersim

// Planted faults of a worker, by the option "lie"; the checks of a run must detect each.
const (
	faultRejectsExecuted  = "denies" // runs a request and rejects it as not executed
	faultRunsTwice        = "twice"  // runs a request twice
	faultSharesCache      = "walls"  // uses the shared cache domain for all tenants
	faultIgnoresWeights   = "deaf"   // doesn't load newer weights
	faultReportsUnloaded  = "boasts" // reports adapters that it hasn't loaded
	faultAbortsExecutions = "dies"   // aborts every request that it has started
)

// plantSecondRun journals a run a second time if the worker runs requests twice.
func (w *Worker) plantSecondRun(run *Run) {
	if w.plantedFault == faultRunsTwice {
		_ = w.writeJournal(run) // writeJournal logs the error; the fault's test then fails
	}
}
