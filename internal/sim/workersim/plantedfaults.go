package workersim

// Injected faults of a simulated worker, selected by the option "lie". Tests verify that the checks of a run detect
// each of them.
const (
	faultRejectsExecuted  = "denies" // executes each request and then rejects it as not executed
	faultRunsTwice        = "twice"  // writes a second journal entry for each request, as if it ran twice
	faultSharesCache      = "walls"  // uses one prefix cache domain for all tenants, also for isolated ones
	faultIgnoresWeights   = "deaf"   // accepts orders for newer weights but doesn't load them
	faultReportsUnloaded  = "boasts" // reports adapters as loaded and rejects requests for them
	faultAbortsExecutions = "dies"   // aborts the connection of every request after its start
)

// journalSecondRun writes the journal entry of a request a second time if the worker has the fault faultRunsTwice.
func (w *Worker) journalSecondRun(run *Run) {
	if w.injectedFault == faultRunsTwice {
		_ = w.writeJournal(run) // writeJournal logs a failure; the test of this fault then fails
	}
}
