package workersim

// A worker that lies is a planted fault: whoever checks a run must see it. "denies" runs a request
// and says that it didn't, "twice" runs it twice, "walls" uses the shared cache for all tenants,
// "deaf" doesn't load newer weights, "boasts" says that
// it holds adapters and has none, "dies" breaks off whatever it has begun.
func (w *Worker) plantSecondRun(run *Run) {
	if w.plantedFault == "twice" {
		_ = w.writeJournal(run) // logged there; what can't be planted is missed by its test
	}
}
