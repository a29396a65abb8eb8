package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// crashed holds the events of a package in which the race detector's runtime crashed during a test.
const crashed = `{"Action":"run","Package":"pebbleloom/internal/b","Test":"TestBad"}
{"Action":"output","Package":"pebbleloom/internal/b","Test":"TestBad","Output":"ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346\n"}
{"Action":"fail","Package":"pebbleloom/internal/b","Test":"TestBad","Elapsed":0.1}
{"Action":"output","Package":"pebbleloom/internal/b","Output":"exit status 66\n"}
{"Action":"fail","Package":"pebbleloom/internal/b","Elapsed":2}
`

// faulted holds the events of a package in which Go's runtime faulted, nilPointer those of one whose own code did.
var (
	faulted    = strings.ReplaceAll(crashed, "ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346", "SIGSEGV: segmentation violation")
	nilPointer = strings.ReplaceAll(crashed, "ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346", "[signal SIGSEGV: segmentation violation code=0x1 addr=0x0]")
)

// passedAgain holds the events of a run of the same package that passed.
const passedAgain = `{"Action":"run","Package":"pebbleloom/internal/b","Test":"TestBad"}
{"Action":"pass","Package":"pebbleloom/internal/b","Test":"TestBad","Elapsed":0.1}
{"Action":"pass","Package":"pebbleloom/internal/b","Elapsed":2}
`

// cutAfterSubtest holds the events of a test that had a failed subtest but didn't finish.
const cutAfterSubtest = `{"Action":"run","Package":"pebbleloom/internal/b","Test":"TestCut"}
{"Action":"fail","Package":"pebbleloom/internal/b","Test":"TestCut/one","Elapsed":0.1}
`

// runtimeEntry is the entry that allows CI to run a crashed package again.
const runtimeEntry = "race-runtime | go test -race ./internal/b, no seed | the runtime crashed | issue 30 | intermittent"

// writeRuns writes the events of each run of go test, followed by its exit code, and the list of known failures. It
// returns the path of the list followed by those of the runs, each further one a repetition of the one before.
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
		paths = append(paths, filepath.Join(folder, "race")+strings.Repeat(againSuffix, i))
		contents = append(contents, events+exit+"\n")
	}
	for i, path := range paths {
		if err := os.WriteFile(path, []byte(contents[i]), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return paths
}

// If the second run crashes too, the third one counts.
func TestDetectorFailsTwice(t *testing.T) {
	for last, want := range map[string]int{passedAgain: 0, crashed: 1, red: 1} {
		var out, errors bytes.Buffer
		if code := run(writeRuns(t, runtimeEntry, green+crashed, crashed, last), &out, &errors); code != want {
			t.Errorf("last run %q: got exit code %d, want %d\n%s%s", last, code, want, out.String(), errors.String())
		}
	}
}

// Only the last run of a crashed package counts. It has to be present, complete and passing. No other failure is
// forgiven, in this package or in another one.
func TestDetectorFailuresAreRunAgain(t *testing.T) {
	for name, test := range map[string]struct {
		first, again, want string // again is empty without a second run; want is part of the error, empty if CI passes
	}{
		"it passes the second time":          {green + crashed, passedAgain, ""},
		"Go's runtime faults":                {green + faulted, passedAgain, ""},
		"a nil pointer isn't run again":      {green + nilPointer, passedAgain, "internal/b.TestBad failed"},
		"no second run":                      {green + crashed, "", "internal/b.TestBad failed"},
		"it crashes again":                   {green + crashed, crashed, "internal/b.TestBad failed"},
		"a test fails the second time":       {green + crashed, red, "internal/b.TestBad failed"},
		"it doesn't finish the second time":  {green + crashed, panicked, "internal/b.TestCut did not finish"},
		"another package was run again":      {green + crashed, green, "was not run again"},
		"another package fails":              {crashed + strings.ReplaceAll(red, "/b", "/e"), passedAgain, "internal/e.TestBad failed"},
		"a failed test isn't run again":      {green + red, passedAgain, "internal/b.TestBad failed"},
		"a second run although none crashed": {green, passedAgain, ""},
		"a test fails before the crash":      {green + other + crashed, passedAgain, "internal/b.TestWorse failed"},
		"a subtest fails before the crash":   {green + cutAfterSubtest + crashed, passedAgain, "internal/b.TestCut did not finish"},
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
				t.Errorf("got exit code %d, want an error with %q\n%s%s", code, test.want, out.String(), errors.String())
			}
			wantList := ""
			if strings.Contains(test.first, detectorFailure) || strings.Contains(test.first, `"`+runtimeFault) {
				wantList = "./internal/b\n"
			}
			var list bytes.Buffer
			code = run([]string{detectorFlag, args[0], args[1]}, &list, &errors)
			if code != 0 || list.String() != wantList {
				t.Errorf("%s: got exit code %d and %q, want 0 and %q", detectorFlag, code, list.String(), wantList)
			}
		})
	}
}

// Without the entry a crash is a failure like any other: no package is listed to run again, and a second run doesn't
// replace the first one.
func TestCrashWithoutEntryFails(t *testing.T) {
	for name, first := range map[string]string{"race detector": green + crashed, "Go's runtime": green + faulted} {
		for listName, known := range map[string]string{
			"empty list":    "",
			"only comments": "# " + runtimeEntry + "\n",
			"another entry": "internal/a.TestGood | go test ./internal/a, no seed | it fails at times | issue 1 | intermittent\n",
		} {
			t.Run(name+", "+listName, func(t *testing.T) {
				args := writeRuns(t, known, first, passedAgain)
				var out, errors bytes.Buffer
				if code := run(args, &out, &errors); code != 1 || !strings.Contains(errors.String(), "internal/b.TestBad failed") {
					t.Errorf("got exit code %d, want 1 and the failed test\n%s%s", code, out.String(), errors.String())
				}
				var list bytes.Buffer
				if code := run([]string{detectorFlag, args[0], args[1]}, &list, &errors); code != 0 || list.Len() > 0 {
					t.Errorf("%s: got exit code %d and %q, want 0 and no package", detectorFlag, code, list.String())
				}
			})
		}
	}
}

// The entry is printed with all its fields in every run of CI, and each crashed package with the line that the runtime
// printed.
func TestCrashesArePrinted(t *testing.T) {
	for name, test := range map[string]struct {
		runs []string
		want []string
	}{
		"no crash":           {[]string{green}, []string{"known failure: " + runtimeEntry + ": passed, intermittent\n"}},
		"a crash, run again": {[]string{green + crashed, passedAgain}, []string{"known failure: " + runtimeEntry + ": failed as known\n", "internal/b crashed and was run again: ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346\n"}},
		"a fault, run again": {[]string{green + faulted, passedAgain}, []string{"known failure: " + runtimeEntry + ": failed as known\n", "internal/b crashed and was run again: SIGSEGV: segmentation violation\n"}},
		"a crash at the end": {[]string{green + crashed}, []string{"known failure: " + runtimeEntry + ": failed in the last run\n", "internal/b crashed: ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346\n"}},
	} {
		t.Run(name, func(t *testing.T) {
			var out, errors bytes.Buffer
			run(writeRuns(t, runtimeEntry, test.runs...), &out, &errors)
			for _, want := range test.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("got %q, want %q in it", out.String(), want)
				}
			}
		})
	}
}

// The entry for crashes has to be intermittent, in both uses of the program.
func TestRuntimeEntryHasToBeIntermittent(t *testing.T) {
	args := writeRuns(t, strings.TrimSuffix(runtimeEntry, " | intermittent"), green+crashed, passedAgain)
	for name, args := range map[string][]string{"judge": args, "list": {detectorFlag, args[0], args[1]}} {
		var out, errors bytes.Buffer
		code := run(args, &out, &errors)
		for _, want := range []string{"line 1: ", `"intermittent" is missing`, "FOLDER.TestName | command and seed | what was seen | issue"} {
			if code != 1 || out.Len() > 0 || !strings.Contains(errors.String(), want) {
				t.Errorf("%s: got exit code %d, %q and %q, want 1 and an error with %q", name, code, out.String(), errors.String(), want)
			}
		}
	}
}

// Listing crashes needs both the list of known failures and a file of events.
func TestListingCrashesNeedsTwoFiles(t *testing.T) {
	var out, errors bytes.Buffer
	if code := run([]string{detectorFlag, "events"}, &out, &errors); code != 2 {
		t.Errorf("got exit code %d, want 2", code)
	}
}
