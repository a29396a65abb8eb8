package operatorapi

import (
	"fmt"

	"pebbleloom/api/operator"
)

// runbook is the name of the runbook that helps with a problem.
type runbook string

// The runbooks, as the command line names them.
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

// entireSite is where a problem lies that isn't one node's, shard's or service's.
const entireSite = "site"

// The states of a shard's replica, as the API names them.
const (
	replicaFollows = "follows"
	replicaLeads   = "owns"
	replicaLearner = "learner"
	replicaFailed  = "out"
	replicaStuck   = "stuck"
	replicaBlank   = "blank"
)

// statusReport collects a site's status.
type statusReport struct{ status operator.Status }

func newStatusReport() *statusReport {
	return &statusReport{operator.Status{Parts: []operator.StatusPartsItem{}, Problems: []operator.StatusProblemsItem{}}}
}

// addProblem reports a problem: its kind, where it lies, and what an operator can do about it.
func (r *statusReport) addProblem(kind, where, text, remedy string, help runbook) {
	r.status.Problems = append(r.status.Problems, operator.StatusProblemsItem{Kind: kind, Where: where, Text: text, Remedy: remedy, Runbook: string(help)})
}

// addFact reports a named value.
func (r *statusReport) addFact(name, format string, args ...any) {
	r.status.Facts = append(r.status.Facts, operator.StatusFactsItem{Name: name, Value: fmt.Sprintf(format, args...)})
}

func (r *statusReport) addReplica(replica operator.StatusPartsItem) {
	r.status.Parts = append(r.status.Parts, replica)
}

// finish returns the status; it is ok if there are no problems.
func (r *statusReport) finish() *operator.Status {
	r.status.Ok = len(r.status.Problems) == 0
	return &r.status
}
