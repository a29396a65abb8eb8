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
	listed      = "internal/b.TestBad, it loses an answer, issue 21\n"
)

// Only a listed test may fail, and it has to; any other failure fails CI.
func TestOnlyListedTestsMayFail(t *testing.T) {
	for name, test := range map[string]struct {
		known, events, want string // want: in the message; "": CI passes
	}{
		"all pass":                        {"", green, ""},
		"a test fails":                    {"", green + red, "internal/b.TestBad failed:\nthe reason"},
		"a listed test fails":             {listed, green + red, ""},
		"another test fails as well":      {listed, green + red + other, "internal/b.TestWorse failed"},
		"a listed test passes":            {"internal/a.TestGood, a cause, issue 1", green, "internal/a.TestGood passes"},
		"a listed test is skipped":        {"internal/a.TestSkipped, a cause, issue 1", green, "no such test ran"},
		"a listed test doesn't exist":     {"internal/a.TestGone, a cause, issue 1", green, "no such test ran"},
		"a test doesn't end":              {"", green + panicked, "internal/b.TestCut didn't end"},
		"a listed test hides no other":    {listed, green + red + panicked, "internal/b.TestCut didn't end"},
		"a package fails without a test":  {"", green + setUp, "internal/c failed outside its tests:\nexit status 2"},
		"a package doesn't build":         {"", green + unbuilt, "internal/d failed outside its tests:\nundefined: x"},
		"nothing ran":                     {"", failed, "no test ran"},
		"nothing but skipped tests":       {"", skippedOnly, "no test passed"},
		"an exit that nothing explains":   {"", green + failed, "no event explains"},
		"something else than events":      {"", "FAIL\n", "not an event"},
		"four are listed":                 {strings.Repeat(listed, 4), green + red, "at most 3"},
		"a line without an issue":         {"internal/b.TestBad, a cause", green + red, "give FOLDER.TestName, cause, issue"},
		"a line without a folder":         {"TestBad, a cause, issue 2", green + red, "give FOLDER.TestName, cause, issue"},
		"it passes in one run of the two": {listed, green + red + strings.ReplaceAll(red, `"fail"`, `"pass"`), ""},
	} {
		folder := t.TempDir()
		events, known := filepath.Join(folder, "events"), filepath.Join(folder, "KNOWN-RED.txt")
		if err := os.WriteFile(events, []byte(test.events+`{"Action":"exit","Elapsed":0}`+"\n"), 0o644); err != nil {
			t.Fatal(err)
		}
		if test.known != "" {
			if err := os.WriteFile(known, []byte(test.known), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		var out, bad bytes.Buffer
		code := run([]string{known, events}, &out, &bad)
		if (code == 0) != (test.want == "") || !strings.Contains(bad.String(), test.want) {
			t.Errorf("%s: exit %d\n%s%s", name, code, out.String(), bad.String())
		}
		if test.want == "" && test.known != "" && !strings.Contains(out.String(), "known red: internal/b.TestBad (it loses an answer; issue 21)") {
			t.Errorf("%s: the known failure isn't printed: %s", name, out.String())
		}
		if test.want == "" && !strings.Contains(out.String(), "1.5 s  internal/a") {
			t.Errorf("%s: no times: %s", name, out.String())
		}
	}
	truncated := filepath.Join(t.TempDir(), "events")
	if err := os.WriteFile(truncated, []byte(green), 0o644); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if code := run([]string{"none", truncated}, &out, &out); code != 1 || !strings.Contains(out.String(), "exit code is missing") {
		t.Errorf("events that were cut off: exit %d, %s", code, out.String())
	}
	if code := run([]string{"KNOWN-RED.txt"}, &out, &out); code != 2 {
		t.Errorf("without events: exit %d", code)
	}
}

// The output of a failed test shows the subtests that failed, not those that passed, and ends with a line
// for each failure.
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
		t.Errorf("exit code %d with a failed test", code)
	}
	if printed := errors.String(); strings.Contains(printed, "a subtest that passed") || !strings.Contains(printed, "the reason\n") {
		t.Errorf("printed %q", printed)
	}
	if !strings.HasSuffix(errors.String(), "\nciresult: CI fails for 1 reasons:\nciresult: internal/b.TestBad failed\n") {
		t.Errorf("printed %q", errors.String())
	}
}

// The last line is the number of tests that passed, failed and were skipped.
func TestTotalsArePrinted(t *testing.T) {
	events := filepath.Join(t.TempDir(), "events")
	if err := os.WriteFile(events, []byte(green+red+`{"Action":"exit","Elapsed":1}`+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errors bytes.Buffer
	if code := run([]string{"none", events}, &out, &errors); code != 1 {
		t.Errorf("exit code %d with a failed test", code)
	}
	if !strings.HasSuffix(out.String(), "\n1 passed, 1 failed, 1 skipped\n") {
		t.Errorf("printed %q", out.String())
	}
}
