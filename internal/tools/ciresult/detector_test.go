package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// detectorCrash holds the events of a package in which the race detector's runtime crashed during a test.
const detectorCrash = `{"Action":"run","Package":"pebbleloom/internal/b","Test":"TestBad"}
{"Action":"output","Package":"pebbleloom/internal/b","Test":"TestBad","Output":"ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346\n"}
{"Action":"fail","Package":"pebbleloom/internal/b","Test":"TestBad","Elapsed":0.1}
{"Action":"output","Package":"pebbleloom/internal/b","Output":"exit status 66\n"}
{"Action":"fail","Package":"pebbleloom/internal/b","Elapsed":2}
`

// runtimeCrash holds the events of a package in which Go's runtime had a segmentation violation, nilPointerPanic those
// of a package in which a test dereferenced a nil pointer.
var (
	runtimeCrash    = strings.ReplaceAll(detectorCrash, "ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346", "SIGSEGV: segmentation violation")
	nilPointerPanic = strings.ReplaceAll(detectorCrash, "ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346", "[signal SIGSEGV: segmentation violation code=0x1 addr=0x0]")
)

// passingRepeat holds the events of a repeated run, which passed, of the package that crashes in detectorCrash.
const passingRepeat = `{"Action":"run","Package":"pebbleloom/internal/b","Test":"TestBad"}
{"Action":"pass","Package":"pebbleloom/internal/b","Test":"TestBad","Elapsed":0.1}
{"Action":"pass","Package":"pebbleloom/internal/b","Elapsed":2}
`

// failedSubtestUnfinished holds the events of a test that had a failed subtest but did not finish.
const failedSubtestUnfinished = `{"Action":"run","Package":"pebbleloom/internal/b","Test":"TestCut"}
{"Action":"fail","Package":"pebbleloom/internal/b","Test":"TestCut/one","Elapsed":0.1}
`

// runtimeEntry is the entry of KNOWN-RED.txt that allows CI to run a crashed package again.
const runtimeEntry = "race-runtime | go test -race ./internal/b, no seed | the runtime crashed | issue 30 | intermittent"

// writeRuns writes the list of known failures and the events of each run of go test, followed by its exit code, to
// files. Each run repeats the one before. It returns the paths of the list and of the runs, in this order.
func writeRuns(t *testing.T, known string, runs ...string) []string {
	t.Helper()
	folder := t.TempDir()
	paths := []string{filepath.Join(folder, "KNOWN-RED.txt")}
	contents := []string{known}
	for i, events := range runs {
		exit := `{"Action":"exit","Elapsed":0}`
		if strings.Contains(events, `"fail"`) {
			exit = `{"Action":"exit","Elapsed":1}`
		}
		paths = append(paths, filepath.Join(folder, "race")+strings.Repeat(repeatSuffix, i))
		contents = append(contents, events+exit+"\n")
	}
	for i, path := range paths {
		if err := os.WriteFile(path, []byte(contents[i]), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return paths
}

// If the second run of a crashed package crashes too, the third run counts.
func TestDetectorFailsTwice(t *testing.T) {
	for last, want := range map[string]int{passingRepeat: 0, detectorCrash: 1, failingRun: 1} {
		var out, errors bytes.Buffer
		if code := run(writeRuns(t, runtimeEntry, passingRun+detectorCrash, detectorCrash, last), &out, &errors); code != want {
			t.Errorf("third run with events %q: exit code of ciresult is %d, want %d; its output:\n%s%s", last, code, want, out.String(), errors.String())
		}
	}
}

// Only the last run of a crashed package counts: it has to be complete and to pass. Every other failure still fails CI,
// in this package or in another one.
func TestDetectorFailuresAreRunAgain(t *testing.T) {
	for name, test := range map[string]struct {
		first, again, want string // events of both runs (again is empty without a second one), and part of the error (empty if CI passes)
	}{
		"the second run passes":                       {passingRun + detectorCrash, passingRepeat, ""},
		"Go's runtime crashes, the second run passes": {passingRun + runtimeCrash, passingRepeat, ""},
		"a nil pointer panic isn't replaced":          {passingRun + nilPointerPanic, passingRepeat, "internal/b.TestBad failed"},
		"no second run":                               {passingRun + detectorCrash, "", "internal/b.TestBad failed"},
		"the second run crashes too":                  {passingRun + detectorCrash, detectorCrash, "internal/b.TestBad failed"},
		"a test fails in the second run":              {passingRun + detectorCrash, failingRun, "internal/b.TestBad failed"},
		"a test doesn't finish in the second run":     {passingRun + detectorCrash, unfinishedTest, "internal/b.TestCut did not finish"},
		"another package was run again":               {passingRun + detectorCrash, passingRun, "was not run again"},
		"another package fails":                       {detectorCrash + strings.ReplaceAll(failingRun, "/b", "/e"), passingRepeat, "internal/e.TestBad failed"},
		"a failed test isn't replaced":                {passingRun + failingRun, passingRepeat, "internal/b.TestBad failed"},
		"a second run although none crashed":          {passingRun, passingRepeat, ""},
		"a test fails before the crash":               {passingRun + otherFailingTest + detectorCrash, passingRepeat, "internal/b.TestWorse failed"},
		"a subtest fails before the crash":            {passingRun + failedSubtestUnfinished + detectorCrash, passingRepeat, "internal/b.TestCut did not finish"},
	} {
		t.Run(name, func(t *testing.T) {
			runs := []string{test.first}
			if test.again != "" {
				runs = append(runs, test.again)
			}
			args := writeRuns(t, runtimeEntry, runs...)
			var out, errors bytes.Buffer
			code := run(args, &out, &errors)
			if (code == 0) != (test.want == "") || !strings.Contains(errors.String(), test.want) {
				t.Errorf("exit code of ciresult is %d, want a failure with the error %q, or 0 if that is empty; its output:\n%s%s", code, test.want, out.String(), errors.String())
			}
			wantList := ""
			if strings.Contains(test.first, detectorFailure) || strings.Contains(test.first, `"`+runtimeFault) {
				wantList = "./internal/b\n"
			}
			var list bytes.Buffer
			code = run([]string{detectorFlag, args[0], args[1]}, &list, &errors)
			if code != 0 || list.String() != wantList {
				t.Errorf("ciresult %s: got exit code %d and packages %q, want 0 and %q", detectorFlag, code, list.String(), wantList)
			}
		})
	}
}

// Without the entry race-runtime in KNOWN-RED.txt a crash is a failure like any other: no package is listed to run
// again, and a second run doesn't replace the first one.
func TestCrashWithoutEntryFails(t *testing.T) {
	for name, first := range map[string]string{"race detector": passingRun + detectorCrash, "Go's runtime": passingRun + runtimeCrash} {
		for listName, known := range map[string]string{
			"empty list":    "",
			"only comments": "# " + runtimeEntry + "\n",
			"another entry": "internal/a.TestGood | go test ./internal/a, no seed | it fails at times | issue 1 | intermittent\n",
		} {
			t.Run(name+", "+listName, func(t *testing.T) {
				args := writeRuns(t, known, first, passingRepeat)
				var out, errors bytes.Buffer
				if code := run(args, &out, &errors); code != 1 || !strings.Contains(errors.String(), "internal/b.TestBad failed") {
					t.Errorf("exit code of ciresult is %d, want 1 and the failure of internal/b.TestBad; its output:\n%s%s", code, out.String(), errors.String())
				}
				var list bytes.Buffer
				if code := run([]string{detectorFlag, args[0], args[1]}, &list, &errors); code != 0 || list.Len() > 0 {
					t.Errorf("ciresult %s: got exit code %d and packages %q, want 0 and none", detectorFlag, code, list.String())
				}
			})
		}
	}
}

// The entry race-runtime is printed with all its fields whether or not a package crashed, and each crashed package with
// the line that the runtime printed.
func TestCrashesArePrinted(t *testing.T) {
	for name, test := range map[string]struct {
		runs []string
		want []string
	}{
		"no crash":                           {[]string{passingRun}, []string{"known failure: " + runtimeEntry + ": passed, intermittent\n"}},
		"a crash, run again":                 {[]string{passingRun + detectorCrash, passingRepeat}, []string{"known failure: " + runtimeEntry + ": failed as known\n", "internal/b crashed and was run again: ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346\n"}},
		"a crash of Go's runtime, run again": {[]string{passingRun + runtimeCrash, passingRepeat}, []string{"known failure: " + runtimeEntry + ": failed as known\n", "internal/b crashed and was run again: SIGSEGV: segmentation violation\n"}},
		"a crash, not run again":             {[]string{passingRun + detectorCrash}, []string{"known failure: " + runtimeEntry + ": failed in the last run\n", "internal/b crashed: ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346\n"}},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errors bytes.Buffer
			run(writeRuns(t, runtimeEntry, test.runs...), &out, &errors)
			for _, want := range test.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("output of ciresult is %q, want %q in it", out.String(), want)
				}
			}
		})
	}
}

// The entry race-runtime has to be intermittent, both when ciresult decides whether CI passes and when it lists
// crashes.
func TestRuntimeEntryHasToBeIntermittent(t *testing.T) {
	args := writeRuns(t, strings.TrimSuffix(runtimeEntry, " | intermittent"), passingRun+detectorCrash, passingRepeat)
	for name, args := range map[string][]string{"decide whether CI passes": args, "list crashed packages": {detectorFlag, args[0], args[1]}} {
		var out, errors bytes.Buffer
		code := run(args, &out, &errors)
		for _, want := range []string{"line 1: ", `"intermittent" is missing`, "FOLDER.TestName | command and seed | what was seen | issue"} {
			if code != 1 || out.Len() > 0 || !strings.Contains(errors.String(), want) {
				t.Errorf("%s: got exit code %d, stdout %q and stderr %q, want 1, no stdout and an error with %q", name, code, out.String(), errors.String(), want)
			}
		}
	}
}

// The flag -detector-failures needs two arguments: the list of known failures and a file of events.
func TestListingCrashesNeedsTwoFiles(t *testing.T) {
	var out, errors bytes.Buffer
	if code := run([]string{detectorFlag, "events"}, &out, &errors); code != 2 {
		t.Errorf("ciresult %s with one file: got exit code %d, want 2", detectorFlag, code)
	}
}
