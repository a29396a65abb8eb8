// Package mutation holds the mutation tests of the control and data planes.
//
// Each row (mutant) names a piece of a source file, a faulty text to put in its place, and the test that
// has to fail because of it. The faulty file is compiled in by the -overlay flag of go test, so that the
// sources aren't touched. Rows match the sources by text: whoever changes a piece that a row names changes
// the row with it, so that it plants the same fault. TestRowsMatchTheSources finds those that were
// forgotten, in well under a second; TestPlantedFaultsAreFound runs them all, in some minutes:
//
//	go test -v -timeout 20m ./internal/control/mutation
//	go test -v -run 'TestPlantedFaultsAreFound/a_vote' ./internal/control/mutation
//
// The package has no code but its tests.
package mutation
