package operatorapi

import (
	"fmt"

	"pebbleloom/api/operator"
)

// runbook is the name of a runbook for a problem in the status report.
type runbook string

// Names of the built-in runbooks, as given to pebblectl runbook run.
const (
	runbookCoreDown          runbook = "core-gone"
	runbookCorePartitioned   runbook = "core-split"
	runbookEdgeDown          runbook = "edge-gone"
	runbookMachinePartition  runbook = "machine-cut"
	runbookDiskFull          runbook = "disk-full"
	runbookDiskLost          runbook = "disk-lost"
	runbookConfigWrong       runbook = "setup-wrong"
	runbookOutdatedWeights   runbook = "weights-midday"
	runbookWorkerDown        runbook = "worker-gone"
	runbookStoreEmpty        runbook = "store-empty"
	runbookEntryPaused       runbook = "move-paused"
	runbookRetirementBlocked runbook = "retirement-held"
)

// entireSite is the location of problems that don't belong to a single node, shard or service.
const entireSite = "site"

// States of a shard's replica in API responses.
const (
	replicaFollows = "follows"
	replicaLeads   = "owns"
	replicaLearner = "learner"
	replicaFailed  = "out"
	replicaStuck   = "stuck"
	replicaBlank   = "blank"
)

// statusReport collects the facts, replicas and problems of a site's status.
type statusReport struct{ status operator.Status }

func newStatusReport() *statusReport {
	return &statusReport{operator.Status{Parts: []operator.StatusPartsItem{}, Problems: []operator.StatusProblemsItem{}}}
}

// addProblem adds a problem: its kind, its location, a description, and the remedy and runbook for it.
func (r *statusReport) addProblem(kind, where, text, remedy string, help runbook) {
	r.status.Problems = append(r.status.Problems, operator.StatusProblemsItem{Kind: kind, Where: where, Text: text, Remedy: remedy, Runbook: string(help)})
}

// addFact adds a named value, formatted as by fmt.Sprintf.
func (r *statusReport) addFact(name, format string, args ...any) {
	r.status.Facts = append(r.status.Facts, operator.StatusFactsItem{Name: name, Value: fmt.Sprintf(format, args...)})
}

func (r *statusReport) addReplica(replica operator.StatusPartsItem) {
	r.status.Parts = append(r.status.Parts, replica)
}

// finish returns the status, marked as ok if no problems were added.
func (r *statusReport) finish() *operator.Status {
	r.status.Ok = len(r.status.Problems) == 0
	return &r.status
}
