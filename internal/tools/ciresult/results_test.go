package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	passingRun = `{"Action":"start","Package":"pebbleloom/internal/a"}
{"Action":"run","Package":"pebbleloom/internal/a","Test":"TestGood"}
{"Action":"output","Package":"pebbleloom/internal/a","Test":"TestGood","Output":"=== RUN\n"}
{"Action":"pass","Package":"pebbleloom/internal/a","Test":"TestGood","Elapsed":0.1}
{"Action":"run","Package":"pebbleloom/internal/a","Test":"TestSkipped"}
{"Action":"skip","Package":"pebbleloom/internal/a","Test":"TestSkipped","Elapsed":0}
{"Action":"pass","Package":"pebbleloom/internal/a","Elapsed":1.5}
`
	failingRun = `{"Action":"run","Package":"pebbleloom/internal/b","Test":"TestBad"}
{"Action":"run","Package":"pebbleloom/internal/b","Test":"TestBad/one"}
{"Action":"output","Package":"pebbleloom/internal/b","Test":"TestBad/one","Output":"the reason\n"}
{"Action":"fail","Package":"pebbleloom/internal/b","Test":"TestBad/one","Elapsed":0.1}
{"Action":"fail","Package":"pebbleloom/internal/b","Test":"TestBad","Elapsed":0.1}
{"Action":"fail","Package":"pebbleloom/internal/b","Elapsed":2}
`
	otherFailingTest    = `{"Action":"run","Package":"pebbleloom/internal/b","Test":"TestWorse"}` + "\n" + `{"Action":"fail","Package":"pebbleloom/internal/b","Test":"TestWorse","Elapsed":0.1}` + "\n"
	unfinishedTest      = `{"Action":"run","Package":"pebbleloom/internal/b","Test":"TestCut"}` + "\n" + `{"Action":"fail","Package":"pebbleloom/internal/b","Elapsed":2}` + "\n"
	failureOutsideTests = `{"Action":"output","Package":"pebbleloom/internal/c","Output":"exit status 2\n"}` + "\n" + `{"Action":"fail","Package":"pebbleloom/internal/c","Elapsed":0}` + "\n"
	buildFailure        = `{"ImportPath":"pebbleloom/internal/d [pebbleloom/internal/d.test]","Action":"build-output","Output":"undefined: x\n"}` + "\n" + `{"ImportPath":"pebbleloom/internal/d [pebbleloom/internal/d.test]","Action":"build-fail"}` + "\n"
	skippedOnly         = `{"Action":"run","Package":"pebbleloom/internal/a","Test":"TestSkipped"}` + "\n" + `{"Action":"skip","Package":"pebbleloom/internal/a","Test":"TestSkipped","Elapsed":0}` + "\n" + `{"Action":"pass","Package":"pebbleloom/internal/a","Elapsed":1}` + "\n"
	exitWithFailure     = `{"Action":"exit","Elapsed":1}` + "\n"
	knownEntry          = "internal/b.TestBad | go test -run 'TestBad$' ./internal/b, SEED=7 | it loses an answer, or two | issue 21\n"
	wantEntryForm       = "FOLDER.TestName | command and seed | what was seen | issue"
)

// listedTest returns an entry of KNOWN-RED.txt for a test, followed by the text more.
func listedTest(test, more string) string {
	return test + " | go test ./internal/a, no seed | a cause | issue 1" + more + "\n"
}

// evaluateEvents runs ciresult on the events, to which it appends exit code 0 of go test. It writes the list of known
// failures only if it is not empty.
func evaluateEvents(t *testing.T, known, events string) (code int, out, errors string) {
	t.Helper()
	folder := t.TempDir()
	eventsFile, knownPath := filepath.Join(folder, "events"), filepath.Join(folder, "KNOWN-RED.txt")
	if err := os.WriteFile(eventsFile, []byte(events+`{"Action":"exit","Elapsed":0}`+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if known != "" {
		if err := os.WriteFile(knownPath, []byte(known), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var outBuffer, errorBuffer bytes.Buffer
	code = run([]string{knownPath, eventsFile}, &outBuffer, &errorBuffer)
	return code, outBuffer.String(), errorBuffer.String()
}

// A test that KNOWN-RED.txt lists has to fail. Any other failure fails CI.
func TestOnlyListedTestsMayFail(t *testing.T) {
	for name, test := range map[string]struct {
		known, events, want string // want is part of the error, empty if CI passes
	}{
		"all pass":                                {"", passingRun, ""},
		"a test fails":                            {"", passingRun + failingRun, "internal/b.TestBad failed:\nthe reason"},
		"a listed test fails":                     {knownEntry, passingRun + failingRun, ""},
		"another test fails as well":              {knownEntry, passingRun + failingRun + otherFailingTest, "internal/b.TestWorse failed"},
		"a listed test passes":                    {listedTest("internal/a.TestGood", ""), passingRun, "internal/a.TestGood passes"},
		"a listed test is skipped":                {listedTest("internal/a.TestSkipped", ""), passingRun, "no such test ran"},
		"a listed test doesn't exist":             {listedTest("internal/a.TestGone", ""), passingRun, "no such test ran"},
		"a test doesn't finish":                   {"", passingRun + unfinishedTest, "internal/b.TestCut did not finish"},
		"an unlisted test doesn't finish":         {knownEntry, passingRun + failingRun + unfinishedTest, "internal/b.TestCut did not finish"},
		"a package fails without a test":          {"", passingRun + failureOutsideTests, "internal/c failed outside its tests:\nexit status 2"},
		"a package doesn't build":                 {"", passingRun + buildFailure, "internal/d failed outside its tests:\nundefined: x"},
		"nothing ran":                             {"", exitWithFailure, "no test ran"},
		"nothing but skipped tests":               {"", skippedOnly, "no test passed"},
		"an unexplained exit code":                {"", passingRun + exitWithFailure, "no event explains"},
		"output that isn't JSON":                  {"", "FAIL\n", "not an event"},
		"a line without an issue":                 {"internal/b.TestBad | go test ./internal/b, no seed | a cause", passingRun + failingRun, wantEntryForm},
		"a line without a folder":                 {listedTest("TestBad", ""), passingRun + failingRun, wantEntryForm},
		"a listed test passes in one of two runs": {knownEntry, passingRun + failingRun + strings.ReplaceAll(failingRun, `"fail"`, `"pass"`), ""},
		"comments and blank lines":                {"# a comment\n\n  # test | command\n" + knownEntry + "#\n", passingRun + failingRun, ""},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, errors := evaluateEvents(t, test.known, test.events)
			if (code == 0) != (test.want == "") || !strings.Contains(errors, test.want) {
				t.Errorf("exit code of ciresult is %d, want a failure with the error %q, or 0 if that is empty; its output:\n%s%s", code, test.want, out, errors)
			}
			if want := "known failure: " + strings.TrimSpace(knownEntry) + ": failed as known\n"; test.want == "" && test.known != "" && !strings.Contains(out, want) {
				t.Errorf("output of ciresult is %q, want %q in it", out, want)
			}
			if want := "1.5 s  internal/a"; test.want == "" && !strings.Contains(out, want) {
				t.Errorf("output of ciresult is %q, want %q in it", out, want)
			}
		})
	}
}

// Events without the exit code of go test, and a call without a file of events, are errors.
func TestIncompleteInput(t *testing.T) {
	truncated := filepath.Join(t.TempDir(), "events")
	if err := os.WriteFile(truncated, []byte(passingRun), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if code := run([]string{"none", truncated}, &out, &out); code != 1 || !strings.Contains(out.String(), "exit code is missing") {
		t.Errorf("events without the exit code of go test: ciresult exits with %d and prints %q, want 1 and the missing exit code", code, out.String())
	}
	if code := run([]string{"KNOWN-RED.txt"}, &out, &out); code != 2 {
		t.Errorf("call without a file of events: exit code of ciresult is %d, want 2", code)
	}
}

// A malformed entry of KNOWN-RED.txt fails CI with an error that names the line, the field and the form of an entry.
// The number of entries isn't limited.
func TestMalformedEntries(t *testing.T) {
	for name, test := range map[string]struct{ entry, want string }{
		"only a test":                   {"internal/b.TestBad", `"command and seed" is missing`},
		"no description":                {"internal/b.TestBad | go test", `"what was seen" is missing`},
		"no issue":                      {"internal/b.TestBad | go test | a cause", `"issue" is missing`},
		"intermittent instead of issue": {"internal/b.TestBad | go test | a cause | intermittent", `"issue" is missing`},
		"empty test":                    {"| go test | a cause | issue 1", `"test" is missing`},
		"empty command":                 {"internal/b.TestBad |  | a cause | issue 1", `"command and seed" is missing`},
		"empty command, one space":      {"internal/b.TestBad | | a cause | issue 1 | intermittent", `"command and seed" is missing`},
		"empty description":             {"internal/b.TestBad | go test |  | issue 1", `"what was seen" is missing`},
		"empty issue":                   {"internal/b.TestBad | go test | a cause |", `"issue" is missing`},
		"empty issue, intermittent":     {"internal/b.TestBad | go test | a cause |  | intermittent", `"issue" is missing`},
		"unknown fifth field":           {"internal/b.TestBad | go test | a cause | issue 1 | Intermittent", `"Intermittent" instead of "intermittent"`},
		"empty fifth field":             {"internal/b.TestBad | go test | a cause | issue 1 |", `"" instead of "intermittent"`},
		"sixth field":                   {"internal/b.TestBad | go test | a cause | issue 1 | intermittent | more", "6 fields"},
		"no folder":                     {"TestBad | go test | a cause | issue 1", `"test" is "TestBad"`},
		"empty folder":                  {".TestBad | go test | a cause | issue 1", `"test" is ".TestBad"`},
		"not a test's name":             {"internal/b.Bad | go test | a cause | issue 1", `"test" is "internal/b.Bad"`},
		"a subtest":                     {"internal/b.TestBad/one | go test | a cause | issue 1", `"test" is "internal/b.TestBad/one"`},
		"duplicate":                     {strings.TrimSpace(knownEntry), "already listed on line 3"},
		"duplicate, one intermittent":   {strings.TrimSpace(knownEntry) + " | intermittent", "already listed on line 3"},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, errors := evaluateEvents(t, "# a comment\n\n"+knownEntry+test.entry+"\n", passingRun+failingRun)
			for _, want := range []string{"KNOWN-RED.txt: line 4: ", test.want, wantEntryForm} {
				if code != 1 || !strings.Contains(errors, want) {
					t.Errorf("got exit code %d, stdout %q and stderr %q, want 1 and an error with %q", code, out, errors, want)
				}
			}
		})
	}
	var events, known string
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		events += strings.ReplaceAll(failingRun, "/b", "/"+name)
		known += strings.ReplaceAll(knownEntry, "/b", "/"+name)
	}
	if code, out, errors := evaluateEvents(t, known, passingRun+events); code != 0 || strings.Count(out, ": failed as known\n") != 5 {
		t.Errorf("KNOWN-RED.txt with five entries: exit code of ciresult is %d, want 0 and five printed entries; its output:\n%s%s", code, out, errors)
	}
}

// A test with an intermittent entry may pass or fail, but has to finish in each run. The entry excuses no other
// failure.
func TestIntermittentTests(t *testing.T) {
	passing, failing := listedTest("internal/a.TestGood", " | intermittent"), listedTest("internal/b.TestBad", " | intermittent")
	unfinished := listedTest("internal/b.TestCut", " | intermittent")
	passes := strings.ReplaceAll(failingRun, `"fail"`, `"pass"`)
	skips := strings.ReplaceAll(failingRun, `"fail"`, `"skip"`)
	for name, test := range map[string]struct {
		known, events, outcome, want string // want is part of the error, empty if CI passes
	}{
		"passes":                     {passing, passingRun, "passed, intermittent", ""},
		"fails":                      {failing, passingRun + failingRun, "failed as known", ""},
		"fails in one run of two":    {failing, passingRun + failingRun + passes, "failed as known", ""},
		"skipped":                    {listedTest("internal/a.TestSkipped", " | intermittent"), passingRun, "skipped", "no such test ran"},
		"skipped in one run":         {failing, passingRun + passes + skips, "skipped in a run", "skipped in a run"},
		"missing":                    {listedTest("internal/a.TestGone", " | intermittent"), passingRun, "did not run", "no such test ran"},
		"doesn't finish":             {unfinished, passingRun + unfinishedTest, "did not finish", "internal/b.TestCut did not finish"},
		"fails, then doesn't finish": {unfinished, passingRun + strings.ReplaceAll(failingRun, "TestBad", "TestCut") + unfinishedTest, "did not finish", "internal/b.TestCut did not finish"},
		"another test fails":         {passing, passingRun + failingRun, "passed, intermittent", "internal/b.TestBad failed"},
		"its package fails":          {failing, passingRun + passes + `{"Action":"fail","Package":"pebbleloom/internal/b","Elapsed":2}` + "\n", "passed, intermittent", "internal/b failed outside its tests"},
		"an unexplained exit code":   {passing, passingRun + exitWithFailure, "passed, intermittent", "no event explains"},
		"passes, not intermittent":   {listedTest("internal/a.TestGood", ""), passingRun, "passed", "internal/a.TestGood passes"},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, errors := evaluateEvents(t, test.known, test.events)
			if (code == 0) != (test.want == "") || !strings.Contains(errors, test.want) {
				t.Errorf("exit code of ciresult is %d, want a failure with the error %q, or 0 if that is empty; its output:\n%s%s", code, test.want, out, errors)
			}
			if want := "known failure: " + strings.TrimSpace(test.known) + ": " + test.outcome + "\n"; !strings.Contains(out, want) {
				t.Errorf("output of ciresult is %q, want %q in it", out, want)
			}
		})
	}
}

// The output for a failed test includes its failed subtests but not those that passed. The output of ciresult ends with
// one line for each failure.
func TestFailureOutputIsShort(t *testing.T) {
	const passedToo = `{"Action":"run","Package":"pebbleloom/internal/b","Test":"TestBad/two"}
{"Action":"output","Package":"pebbleloom/internal/b","Test":"TestBad/two","Output":"a subtest that passed\n"}
{"Action":"pass","Package":"pebbleloom/internal/b","Test":"TestBad/two","Elapsed":0.1}
`
	events := filepath.Join(t.TempDir(), "events")
	passesInAnotherRun := strings.ReplaceAll(failingRun, `"fail"`, `"pass"`)
	if err := os.WriteFile(events, []byte(passingRun+passedToo+failingRun+passesInAnotherRun+`{"Action":"exit","Elapsed":1}`+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errors bytes.Buffer
	if code := run([]string{"none", events}, &out, &errors); code != 1 {
		t.Errorf("run with a failed test: exit code of ciresult is %d, want 1", code)
	}
	if printed := errors.String(); strings.Contains(printed, "a subtest that passed") || !strings.Contains(printed, "the reason\n") {
		t.Errorf("stderr of ciresult is %q, want the output of the failed subtest without that of the passed one", printed)
	}
	if want := "\nciresult: CI fails for 1 reasons:\nciresult: internal/b.TestBad failed\n"; !strings.HasSuffix(errors.String(), want) {
		t.Errorf("output of ciresult is %q, want it to end with %q", errors.String(), want)
	}
}

// The last line that ciresult prints to stdout has the numbers of tests that passed, failed and were skipped.
func TestTotalsArePrinted(t *testing.T) {
	events := filepath.Join(t.TempDir(), "events")
	if err := os.WriteFile(events, []byte(passingRun+failingRun+`{"Action":"exit","Elapsed":1}`+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errors bytes.Buffer
	if code := run([]string{"none", events}, &out, &errors); code != 1 {
		t.Errorf("run with a failed test: exit code of ciresult is %d, want 1", code)
	}
	if want := "\n1 passed, 1 failed, 1 skipped\n"; !strings.HasSuffix(out.String(), want) {
		t.Errorf("output of ciresult is %q, want it to end with %q", out.String(), want)
	}
}
