// Package mutation contains the mutation tests of the control and data planes.
//
// Each mutant replaces a piece of one source file by faulty code, and names the test that must then fail. The
// faulty file is compiled in by the -overlay flag of go test, so the sources aren't modified. A mutant finds its
// place by the text of the source: a commit that changes this text must change the mutant too, so that it still
// injects the same fault. TestRowsMatchTheSources detects mutants that don't match, in under a second;
// TestPlantedFaultsAreFound runs all mutants, which takes several minutes:
//
//	go test -v -timeout 20m ./internal/control/mutation
//	go test -v -run 'TestPlantedFaultsAreFound/a_vote' ./internal/control/mutation
//
// The package contains only tests.
package mutation
