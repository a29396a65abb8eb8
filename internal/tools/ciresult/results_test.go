package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	green = `{"Action":"start","Package":"pebbleloom/internal/a"}
{"Action":"run","Package":"pebbleloom/internal/a","Test":"TestGood"}
{"Action":"output","Package":"pebbleloom/internal/a","Test":"TestGood","Output":"=== RUN\n"}
{"Action":"pass","Package":"pebbleloom/internal/a","Test":"TestGood","Elapsed":0.1}
{"Action":"run","Package":"pebbleloom/internal/a","Test":"TestSkipped"}
{"Action":"skip","Package":"pebbleloom/internal/a","Test":"TestSkipped","Elapsed":0}
{"Action":"pass","Package":"pebbleloom/internal/a","Elapsed":1.5}
`
	red = `{"Action":"run","Package":"pebbleloom/internal/b","Test":"TestBad"}
{"Action":"run","Package":"pebbleloom/internal/b","Test":"TestBad/one"}
{"Action":"output","Package":"pebbleloom/internal/b","Test":"TestBad/one","Output":"the reason\n"}
{"Action":"fail","Package":"pebbleloom/internal/b","Test":"TestBad/one","Elapsed":0.1}
{"Action":"fail","Package":"pebbleloom/internal/b","Test":"TestBad","Elapsed":0.1}
{"Action":"fail","Package":"pebbleloom/internal/b","Elapsed":2}
`
	other       = `{"Action":"run","Package":"pebbleloom/internal/b","Test":"TestWorse"}` + "\n" + `{"Action":"fail","Package":"pebbleloom/internal/b","Test":"TestWorse","Elapsed":0.1}` + "\n"
	panicked    = `{"Action":"run","Package":"pebbleloom/internal/b","Test":"TestCut"}` + "\n" + `{"Action":"fail","Package":"pebbleloom/internal/b","Elapsed":2}` + "\n"
	setUp       = `{"Action":"output","Package":"pebbleloom/internal/c","Output":"exit status 2\n"}` + "\n" + `{"Action":"fail","Package":"pebbleloom/internal/c","Elapsed":0}` + "\n"
	unbuilt     = `{"ImportPath":"pebbleloom/internal/d [pebbleloom/internal/d.test]","Action":"build-output","Output":"undefined: x\n"}` + "\n" + `{"ImportPath":"pebbleloom/internal/d [pebbleloom/internal/d.test]","Action":"build-fail"}` + "\n"
	skippedOnly = `{"Action":"run","Package":"pebbleloom/internal/a","Test":"TestSkipped"}` + "\n" + `{"Action":"skip","Package":"pebbleloom/internal/a","Test":"TestSkipped","Elapsed":0}` + "\n" + `{"Action":"pass","Package":"pebbleloom/internal/a","Elapsed":1}` + "\n"
	failed      = `{"Action":"exit","Elapsed":1}` + "\n"
	listed      = "internal/b.TestBad | go test -run 'TestBad$' ./internal/b, SEED=7 | it loses an answer, or two | issue 21\n"
	wantForm    = "FOLDER.TestName | command and seed | what was seen | issue"
)

// listedTest returns an entry for a test, with further fields at its end.
func listedTest(test, more string) string {
	return test + " | go test ./internal/a, no seed | a cause | issue 1" + more + "\n"
}

// judgeEvents runs the program on events, to which it adds the exit code, with a list of known failures unless it is
// empty.
func judgeEvents(t *testing.T, known, events string) (code int, out, errors string) {
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

// Only a listed test may fail, and it has to; any other failure fails CI.
func TestOnlyListedTestsMayFail(t *testing.T) {
	for name, test := range map[string]struct {
		known, events, want string // want is part of the error, empty if CI passes
	}{
		"all pass":                        {"", green, ""},
		"a test fails":                    {"", green + red, "internal/b.TestBad failed:\nthe reason"},
		"a listed test fails":             {listed, green + red, ""},
		"another test fails as well":      {listed, green + red + other, "internal/b.TestWorse failed"},
		"a listed test passes":            {listedTest("internal/a.TestGood", ""), green, "internal/a.TestGood passes"},
		"a listed test is skipped":        {listedTest("internal/a.TestSkipped", ""), green, "no such test ran"},
		"a listed test doesn't exist":     {listedTest("internal/a.TestGone", ""), green, "no such test ran"},
		"a test doesn't finish":           {"", green + panicked, "internal/b.TestCut did not finish"},
		"a listed test hides no other":    {listed, green + red + panicked, "internal/b.TestCut did not finish"},
		"a package fails without a test":  {"", green + setUp, "internal/c failed outside its tests:\nexit status 2"},
		"a package doesn't build":         {"", green + unbuilt, "internal/d failed outside its tests:\nundefined: x"},
		"nothing ran":                     {"", failed, "no test ran"},
		"nothing but skipped tests":       {"", skippedOnly, "no test passed"},
		"an exit that nothing explains":   {"", green + failed, "no event explains"},
		"something else than events":      {"", "FAIL\n", "not an event"},
		"a line without an issue":         {"internal/b.TestBad | go test ./internal/b, no seed | a cause", green + red, wantForm},
		"a line without a folder":         {listedTest("TestBad", ""), green + red, wantForm},
		"it passes in one run of the two": {listed, green + red + strings.ReplaceAll(red, `"fail"`, `"pass"`), ""},
		"comments and blank lines":        {"# a comment\n\n  # test | command\n" + listed + "#\n", green + red, ""},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, errors := judgeEvents(t, test.known, test.events)
			if (code == 0) != (test.want == "") || !strings.Contains(errors, test.want) {
				t.Errorf("got exit code %d, want an error with %q\n%s%s", code, test.want, out, errors)
			}
			if want := "known failure: " + strings.TrimSpace(listed) + ": failed as known\n"; test.want == "" && test.known != "" && !strings.Contains(out, want) {
				t.Errorf("got %q, want %q in it", out, want)
			}
			if want := "1.5 s  internal/a"; test.want == "" && !strings.Contains(out, want) {
				t.Errorf("got %q, want %q in it", out, want)
			}
		})
	}
}

// Events that were cut off and a call without events are errors.
func TestIncompleteInput(t *testing.T) {
	truncated := filepath.Join(t.TempDir(), "events")
	if err := os.WriteFile(truncated, []byte(green), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if code := run([]string{"none", truncated}, &out, &out); code != 1 || !strings.Contains(out.String(), "exit code is missing") {
		t.Errorf("events that were cut off: got exit code %d and %q, want 1 and the missing exit code", code, out.String())
	}
	if code := run([]string{"KNOWN-RED.txt"}, &out, &out); code != 2 {
		t.Errorf("without events: got exit code %d, want 2", code)
	}
}

// A malformed entry ends CI with an error that names the line, the field and the form. The number of entries isn't
// limited.
func TestMalformedEntries(t *testing.T) {
	for name, test := range map[string]struct{ entry, want string }{
		"only a test":                 {"internal/b.TestBad", `"command and seed" is missing`},
		"no sentence":                 {"internal/b.TestBad | go test", `"what was seen" is missing`},
		"no issue":                    {"internal/b.TestBad | go test | a cause", `"issue" is missing`},
		"the word instead of issue":   {"internal/b.TestBad | go test | a cause | intermittent", `"issue" is missing`},
		"empty test":                  {"| go test | a cause | issue 1", `"test" is missing`},
		"empty command":               {"internal/b.TestBad |  | a cause | issue 1", `"command and seed" is missing`},
		"empty command, one space":    {"internal/b.TestBad | | a cause | issue 1 | intermittent", `"command and seed" is missing`},
		"empty sentence":              {"internal/b.TestBad | go test |  | issue 1", `"what was seen" is missing`},
		"empty issue":                 {"internal/b.TestBad | go test | a cause |", `"issue" is missing`},
		"empty issue, intermittent":   {"internal/b.TestBad | go test | a cause |  | intermittent", `"issue" is missing`},
		"unknown fifth word":          {"internal/b.TestBad | go test | a cause | issue 1 | Intermittent", `"Intermittent" instead of "intermittent"`},
		"empty fifth field":           {"internal/b.TestBad | go test | a cause | issue 1 |", `"" instead of "intermittent"`},
		"sixth field":                 {"internal/b.TestBad | go test | a cause | issue 1 | intermittent | more", "6 fields"},
		"no folder":                   {"TestBad | go test | a cause | issue 1", `"test" is "TestBad"`},
		"empty folder":                {".TestBad | go test | a cause | issue 1", `"test" is ".TestBad"`},
		"not a test's name":           {"internal/b.Bad | go test | a cause | issue 1", `"test" is "internal/b.Bad"`},
		"a subtest":                   {"internal/b.TestBad/one | go test | a cause | issue 1", `"test" is "internal/b.TestBad/one"`},
		"duplicate":                   {strings.TrimSpace(listed), "already listed on line 3"},
		"duplicate, one of each sort": {strings.TrimSpace(listed) + " | intermittent", "already listed on line 3"},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, errors := judgeEvents(t, "# a comment\n\n"+listed+test.entry+"\n", green+red)
			for _, want := range []string{"KNOWN-RED.txt: line 4: ", test.want, wantForm} {
				if code != 1 || !strings.Contains(errors, want) {
					t.Errorf("got exit code %d and %q%q, want 1 and %q", code, out, errors, want)
				}
			}
		})
	}
	var events, known string
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		events += strings.ReplaceAll(red, "/b", "/"+name)
		known += strings.ReplaceAll(listed, "/b", "/"+name)
	}
	if code, out, errors := judgeEvents(t, known, green+events); code != 0 || strings.Count(out, ": failed as known\n") != 5 {
		t.Errorf("five entries: got exit code %d, want 0 and five printed entries\n%s%s", code, out, errors)
	}
}

// An intermittent test may pass or fail, but has to run to its end. It excuses nothing else.
func TestIntermittentTests(t *testing.T) {
	good, bad := listedTest("internal/a.TestGood", " | intermittent"), listedTest("internal/b.TestBad", " | intermittent")
	cut := listedTest("internal/b.TestCut", " | intermittent")
	passes := strings.ReplaceAll(red, `"fail"`, `"pass"`)
	skips := strings.ReplaceAll(red, `"fail"`, `"skip"`)
	for name, test := range map[string]struct {
		known, events, outcome, want string // want is part of the error, empty if CI passes
	}{
		"passes":                  {good, green, "passed, intermittent", ""},
		"fails":                   {bad, green + red, "failed as known", ""},
		"fails in one run of two": {bad, green + red + passes, "failed as known", ""},
		"skipped":                 {listedTest("internal/a.TestSkipped", " | intermittent"), green, "skipped", "no such test ran"},
		"skipped in one run":      {bad, green + passes + skips, "skipped in a run", "skipped in a run"},
		"missing":                 {listedTest("internal/a.TestGone", " | intermittent"), green, "did not run", "no such test ran"},
		"doesn't finish":          {cut, green + panicked, "did not finish", "internal/b.TestCut did not finish"},
		"fails, then doesn't end": {cut, green + strings.ReplaceAll(red, "TestBad", "TestCut") + panicked, "did not finish", "internal/b.TestCut did not finish"},
		"another test fails":      {good, green + red, "passed, intermittent", "internal/b.TestBad failed"},
		"its package fails":       {bad, green + passes + `{"Action":"fail","Package":"pebbleloom/internal/b","Elapsed":2}` + "\n", "passed, intermittent", "internal/b failed outside its tests"},
		"the exit is unexplained": {good, green + failed, "passed, intermittent", "no event explains"},
		"passes without the word": {listedTest("internal/a.TestGood", ""), green, "passed", "internal/a.TestGood passes"},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, errors := judgeEvents(t, test.known, test.events)
			if (code == 0) != (test.want == "") || !strings.Contains(errors, test.want) {
				t.Errorf("got exit code %d, want an error with %q\n%s%s", code, test.want, out, errors)
			}
			if want := "known failure: " + strings.TrimSpace(test.known) + ": " + test.outcome + "\n"; !strings.Contains(out, want) {
				t.Errorf("got %q, want %q in it", out, want)
			}
		})
	}
}

// The output of a failed test shows its failed subtests but not those that passed, and ends with one line for each
// failure.
func TestFailureOutputIsShort(t *testing.T) {
	const passedToo = `{"Action":"run","Package":"pebbleloom/internal/b","Test":"TestBad/two"}
{"Action":"output","Package":"pebbleloom/internal/b","Test":"TestBad/two","Output":"a subtest that passed\n"}
{"Action":"pass","Package":"pebbleloom/internal/b","Test":"TestBad/two","Elapsed":0.1}
`
	events := filepath.Join(t.TempDir(), "events")
	passesInAnotherRun := strings.ReplaceAll(red, `"fail"`, `"pass"`)
	if err := os.WriteFile(events, []byte(green+passedToo+red+passesInAnotherRun+`{"Action":"exit","Elapsed":1}`+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errors bytes.Buffer
	if code := run([]string{"none", events}, &out, &errors); code != 1 {
		t.Errorf("a failed test: got exit code %d, want 1", code)
	}
	if printed := errors.String(); strings.Contains(printed, "a subtest that passed") || !strings.Contains(printed, "the reason\n") {
		t.Errorf("got %q, want the reason without the passed subtest", printed)
	}
	if want := "\nciresult: CI fails for 1 reasons:\nciresult: internal/b.TestBad failed\n"; !strings.HasSuffix(errors.String(), want) {
		t.Errorf("got %q, want the suffix %q", errors.String(), want)
	}
}

// The last line holds the numbers of tests that passed, failed and were skipped.
func TestTotalsArePrinted(t *testing.T) {
	events := filepath.Join(t.TempDir(), "events")
	if err := os.WriteFile(events, []byte(green+red+`{"Action":"exit","Elapsed":1}`+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errors bytes.Buffer
	if code := run([]string{"none", events}, &out, &errors); code != 1 {
		t.Errorf("a failed test: got exit code %d, want 1", code)
	}
	if want := "\n1 passed, 1 failed, 1 skipped\n"; !strings.HasSuffix(out.String(), want) {
		t.Errorf("got %q, want the suffix %q", out.String(), want)
	}
}
