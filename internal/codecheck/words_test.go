package codecheck

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// withdrawn are words of our earlier house style, beside the field's term for each.
var withdrawn = map[string]string{
	"downstream": "client", "downstreams": "clients", "district": "zone", "districts": "zones",
	"colleague": "peer", "colleagues": "peers", "deny": "reject", "denied": "rejected", "denies": "rejects", "denial": "rejection",
	"archives": "control nodes", "appraisers": "placement controllers", "catalogues": "prompt indexes", "dispatchers": "proxies", "rosters": "cluster memberships",
	"ledger": "consensus", "shelf": "storage", "archive": "control state", "glimpse": "published view", "council": "membership policy",
	"regroup": "propose membership", "sounding": "pre-vote", "owner": "leader or holder", "owners": "leaders or holders", "owns": "is leader",
	"yard": "test bed", "tabletop": "cluster simulation", "desk": "command line", "frontdesk": "operator API", "cab": "worker simulator",
	"depot": "store simulator", "fares": "load generator", "appraiser": "placement controller", "catalogue": "prompt index",
	"dispatcher": "proxy", "roster": "cluster membership", "setup": "configuration", "setups": "configurations",
	"pick": "select", "picks": "selects", "picked": "selected", "tell": "response", "told": "received", "tells": "responds",
	"life": "incarnation or runtime", "lives": "incarnations", "heed": "apply", "duty": "lease or controller", "duties": "leases or controllers",
}

// hiding words are ones of our own making where the field has a standard term.
var hiding = map[string]string{"expiry": "deadline", "expiries": "deadlines", "expire": "deadline", "expires": "deadline",
	"epoch": "version", "epochs": "version", "way": "route", "ways": "routes", "goes": "attempts"}

// toRename are the packages from before that still have names hiding a standard term. They are
// renamed as they are touched; nothing may be added here.
var toRename = []string{"cli", "control/controlstate", "data/placement"}

// declared lists the names of functions, types, fields, methods, constants and variables that a file
// declares outside functions; local lists those inside.
func declared(file string, src []byte) (names, local []string, err error) {
	f, err := parser.ParseFile(token.NewFileSet(), file, src, 0)
	if err != nil {
		return nil, nil, err
	}
	for _, d := range f.Decls {
		x, ok := d.(*ast.FuncDecl)
		if !ok {
			names = append(names, defined(d)...)
			continue
		}
		names = append(names, x.Name.Name)
		local = append(local, defined(x)...)
	}
	return names, local, nil
}

// defined lists the names that a declaration defines, wherever in it; a function's own name apart.
func defined(d ast.Node) (names []string) {
	add := func(l ...*ast.Ident) {
		for _, n := range l {
			names = append(names, n.Name)
		}
	}
	ast.Inspect(d, func(n ast.Node) bool {
		switch x := n.(type) {
		case *ast.Field:
			add(x.Names...)
		case *ast.ValueSpec:
			add(x.Names...)
		case *ast.TypeSpec:
			add(x.Name)
		case *ast.LabeledStmt:
			add(x.Label)
		case *ast.AssignStmt:
			if x.Tok == token.DEFINE {
				add(identifiers(x.Lhs...)...)
			}
		case *ast.RangeStmt:
			if x.Tok == token.DEFINE {
				add(identifiers(x.Key, x.Value)...)
			}
		}
		return true
	})
	return names
}

func identifiers(l ...ast.Expr) (names []*ast.Ident) {
	for _, e := range l {
		if n, ok := e.(*ast.Ident); ok {
			names = append(names, n)
		}
	}
	return names
}

var wordStart = regexp.MustCompile(`[A-Z]+[a-z0-9]*|[a-z][a-z0-9]*`)

// hides gives the standard term that a name hides; "" if none. A link is cut one way, and a test's
// name is a sentence, in which something goes.
func hides(name string) string {
	ws := wordStart.FindAllString(name, -1)
	for i, w := range ws {
		w = strings.ToLower(w)
		if w == "way" && i > 0 && strings.EqualFold(ws[i-1], "one") || w == "goes" && ws[0] == "Test" {
			continue
		}
		if t := hiding[w]; t != "" {
			return t
		}
		if w == "clock" && i+1 < len(ws) && strings.HasPrefix(strings.ToLower(ws[i+1]), "event") {
			return "timer"
		}
	}
	return ""
}

func folderOf(file string) string {
	return strings.TrimPrefix(path.Dir(strings.TrimPrefix(file, "../../")), "internal/")
}

// withdrawnIn lists the names that hold a withdrawn word.
func withdrawnIn(names []string) (found []string) {
	for _, n := range names {
		if holdsWithdrawn(n) {
			found = append(found, n)
		}
	}
	return found
}

func holdsWithdrawn(text string) bool {
	return slices.ContainsFunc(wordStart.FindAllString(text, -1), func(w string) bool { return withdrawn[strings.ToLower(w)] != "" })
}

// wireForms are the places where a withdrawn word has to stand in a comment or a string: names that
// mixed releases, operators' scripts and stored data share.
var wireForms = regexp.MustCompile(strings.Join([]string{
	`"(archive|catalogue|appraiser|dispatcher|district|setup|tell|owns|desk|cab|depot|not-owner)"`,             // roles, fields of settings and JSON, states, outcomes, programs
	`\b(archive|catalogue|appraiser|dispatcher)/`, `\bpebbleloom/cmd/[a-z]+\b`, `\bProgram [a-z]+ (is|runs)\b`, // names of nodes and programs
	"`(district|setup [a-z]+)", `--district\b`, `\bx\.json: district\b`, `\bsetup_ms\b`, `\\tDISTRICT\\t`, // settings, flags, a column
	`\bdesk (--[a-z]+|%s|(setup|weights|keys|drain|status|nodes|workers|placement|calendar|retire|runbook|explain|index)\b)`, // commands
	`\bdesk(: |-")`, `\bsee desk "`, `\bsetup (get|apply|patch|validate|render|diff|fly)\b`,
	`/v1/setup\b`, `\.setup\b`, `\btestdata/setups\b`, `\bpebbleloom_denied_total\b`,
	`\b(patch-setup|no-setup|setup-wrong|duties-unheld|duties of the)\b`,                              // kinds of problems, actions, names of facts and runbooks
	`\b(New)?(Archive|Catalogue|Roster)(PathPrefix|Server|ProtobufClient)\b`, `\b(Get|Change)Setup\b`, // generated from the services on the wire
}, "|"))

// textsWithWithdrawn lists the comments and strings of a file that hold a withdrawn word. Imports and
// fields' tags don't count.
func textsWithWithdrawn(file string, src []byte) (found []string, err error) {
	fs := token.NewFileSet()
	f, err := parser.ParseFile(fs, file, src, parser.ParseComments)
	if err != nil {
		return nil, err
	}
	look := func(at token.Pos, text string) {
		if holdsWithdrawn(text) && holdsWithdrawn(wireForms.ReplaceAllString(text, "")) {
			found = append(found, fs.Position(at).String()+": "+text)
		}
	}
	for _, g := range f.Comments {
		for _, c := range g.List {
			look(c.Pos(), c.Text)
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch x := n.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.Field:
			x.Tag = nil
		case *ast.BasicLit:
			if x.Kind == token.STRING {
				look(x.Pos(), x.Value)
			}
		}
		return true
	})
	return found, nil
}

// remaining reads testdata/withdrawn.txt: for each folder, how many names still hold a withdrawn word.
func remaining(t *testing.T) map[string]int {
	t.Helper()
	raw, err := os.ReadFile("testdata/withdrawn.txt")
	if err != nil {
		t.Fatal(err)
	}
	counts := map[string]int{}
	for line := range strings.Lines(string(raw)) {
		fields := strings.Fields(line)
		if len(fields) != 2 {
			t.Fatalf("testdata/withdrawn.txt: %q: a folder and how many names are left are needed", line)
		}
		n, err := strconv.Atoi(fields[1])
		if err != nil || n <= 0 {
			t.Fatalf("testdata/withdrawn.txt: %q: a folder and how many names are left are needed", line)
		}
		counts[fields[0]] = n
	}
	return counts
}

// The words of the earlier house style are withdrawn. A folder that is done holds none of them in its
// names, local ones included; the others hold exactly as many as testdata/withdrawn.txt says, so none
// comes back.
func TestWithdrawnWordsDoNotComeBack(t *testing.T) {
	for name, want := range map[string]bool{"colleagueOf": true, "DistrictName": true, "askTold": true, "peer": false, "Client": false, "recab": false, "cabinet": false, "Picked": true} {
		if got := len(withdrawnIn([]string{name})) > 0; got != want {
			t.Fatalf("the check itself says %v about %s", got, name)
		}
	}
	planted := "package x\ntype shelf struct{ cab int }\nvar v = func(owner int) {}\nfunc tell(desk int) (told error) {\n\tlife := 1\n\tfor duty, x := range y { z, heed := 1, 2 }\n\tvar yard int\nroster:\n\tfares = peer\n}\n"
	if names, local, err := declared("x.go", []byte(planted)); err != nil || len(withdrawnIn(names)) != 4 || len(withdrawnIn(local)) != 7 {
		t.Fatalf("the check itself finds %v and %v, %v", withdrawnIn(names), withdrawnIn(local), err)
	}
	left := remaining(t)
	found := map[string][]string{}
	for p, b := range files(t) {
		names, local, err := declared(p, b)
		if err != nil {
			t.Fatal(err)
		}
		folder := folderOf(p)
		found[folder] = append(found[folder], withdrawnIn(append(names, local...))...)
	}
	for folder, names := range found {
		if n := left[folder]; len(names) > n {
			t.Errorf("%s: %d names hold a withdrawn word, %d may: %v: use the field's term", folder, len(names), n, names)
		} else if len(names) < n {
			t.Errorf("%s %d: fewer are left: write this number into testdata/withdrawn.txt", folder, len(names))
		}
	}
	for folder := range left {
		if _, there := found[folder]; !there {
			t.Errorf("%s: no such folder: take it off testdata/withdrawn.txt", folder)
		}
	}
}

// textsToDo are the folders whose comments and strings still hold withdrawn words. They are rewritten as
// they are touched; nothing may be added here, and a new folder starts clean.
var textsToDo = []string{"capacity", "contract", "control/calendar", "control/consensus", "control/controlclient", "control/controlstate",
	"control/storage", "data/backend", "data/callerproxy", "data/proxy", "platform", "sim/clustersim", "sim/history",
	"sim/loadgen", "sim/testbed", "sim/workersim"}

// Comments, logs and messages use the field's terms too, but for what stands on the wire.
func TestWithdrawnWordsInTexts(t *testing.T) {
	planted := "package x\n\n// A colleague is told.\n//\n// Example: Start(\"archive\")\nimport \"pebbleloom/internal/sim/yard\"\n\ntype t struct { a int `json:\"district\"` } // a downstream\n\n" +
		"var a = \"no district answers\"\nvar b = []string{\"district\", \"archive/core-1\", `desk setup get`, \"setup-wrong\", \"a client\", \"the desk is closed\", \"a setup in force\"}\n"
	if l, err := textsWithWithdrawn("x.go", []byte(planted)); err != nil || len(l) != 5 {
		t.Fatalf("the check itself finds %d, %v:\n%s", len(l), err, strings.Join(l, "\n"))
	}
	left := map[string]int{}
	for p, b := range files(t) {
		if strings.HasSuffix(p, "/codecheck/words_test.go") || strings.HasSuffix(p, "/programs/programs.go") {
			continue // they have to spell them out: the list itself, and the table of first names
		}
		l, err := textsWithWithdrawn(p, b)
		if err != nil {
			t.Fatal(err)
		}
		folder := folderOf(p)
		left[folder] += len(l)
		if !slices.Contains(textsToDo, folder) {
			for _, x := range l {
				t.Errorf("%s: a withdrawn word: use the field's term", x)
			}
		}
	}
	for _, f := range textsToDo {
		if left[f] == 0 {
			t.Errorf("%s: nothing is left to rewrite: take it off the list", f)
		}
	}
}

// Standard terms: attempt, route, timer, deadline, version and error are the field's own, and no
// name hides them behind a word of ours.
func TestNoNameHidesAStandardTerm(t *testing.T) {
	for name, want := range map[string]string{"Epoch": "version", "haveEpoch": "version", "nextWay": "route", "ways": "route", "KeyExpiry": "deadline",
		"clockEvents": "timer", "goes": "attempts", "TestPlanGoes": "", "oneWay": "", "cutOneWay": "", "TestEpoch": "version", "always": "", "Gateway": "", "Go": "", "ongoing": "", "clock": ""} {
		if got := strings.TrimSuffix(hides(name), "s"); got != strings.TrimSuffix(want, "s") {
			t.Fatalf("the check itself says that %s hides %q", name, got)
		}
	}
	left := map[string]int{}
	for p, b := range files(t) {
		l, _, err := declared(p, b)
		if err != nil {
			t.Fatal(err)
		}
		for _, n := range l {
			term := hides(n)
			if term == "" {
				continue
			}
			left[folderOf(p)]++
			if !slices.Contains(toRename, folderOf(p)) {
				t.Errorf("%s: %s hides a standard term: say %s", p, n, term)
			}
		}
	}
	for _, f := range toRename {
		if left[f] == 0 {
			t.Errorf("%s: nothing is left to rename: take it off the list", f)
		}
	}
}

// statusTable is what docs/status.md has to say of the names that are left.
func statusTable(counts map[string]int) string {
	folders := slices.Concat(slices.Collect(maps.Keys(counts)), textsToDo, toRename)
	slices.Sort(folders)
	var b strings.Builder
	for _, f := range slices.Compact(folders) {
		texts, hides := "clean", "no"
		if slices.Contains(textsToDo, f) {
			texts = "yes"
		}
		if slices.Contains(toRename, f) {
			hides = "yes"
		}
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s |\n", f, counts[f], texts, hides)
	}
	return b.String()
}

// The page says what is left as the lists say, and the lists are checked above.
func TestStatusSaysWhatIsLeft(t *testing.T) {
	raw, err := os.ReadFile("../../docs/status.md")
	if err != nil {
		t.Fatal(err)
	}
	_, page, _ := strings.Cut(string(raw), "## Names: what is left\n")
	page, _, _ = strings.Cut(page, "\n## ")
	_, table, _ := strings.Cut(page, "| --- | --- | --- | --- |\n")
	table, _, _ = strings.Cut(table, "\n\n")
	if want := statusTable(remaining(t)); table+"\n" != want {
		t.Errorf("docs/status.md, names that are left: write\n%s", want)
	}
}
