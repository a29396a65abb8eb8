package codecheck

import (
	"go/ast"
	"go/token"
	"regexp"
	"strings"
)

// withdrawn lists words that the project no longer uses in names, comments and strings, each with the standard term
// to use instead.
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

// plain lists everyday words that the documentation for users has for concepts with a standard term, each with that
// term. Some are right in another sense (a round of a search, a cut of a log), so they aren't forbidden:
// testdata/remaining.txt has the number of names with such words in each folder, which may only decrease.
var plain = map[string]string{
	"whole": "complete", "held": "pending, in flight, reserved", "tries": "attempts", "mishap": "fault", "trouble": "fault", "troubles": "faults",
	"ill": "unhealthy", "sick": "unhealthy", "beat": "heartbeat", "beats": "heartbeats", "news": "update", "word": "update", "keeper": "lease holder",
	"fence": "fencing token", "fences": "fencing tokens", "mates": "peers", "fellows": "peers", "kin": "replicas", "piece": "chunk, shard",
	"pieces": "chunks", "mark": "offset, watermark", "letter": "message", "note": "message", "errand": "request", "book": "log, state table",
	"round": "term", "ballot": "proposal number", "promise": "vote", "settle": "commit", "settled": "committed", "settles": "commits", "mend": "repair",
	"mends": "repairs", "mended": "repaired", "silence": "timeout", "cut": "partition, truncate", "ceiling": "rate limit", "lot": "batch job",
	"saves": "checkpoints", "room": "capacity", "rooms": "capacities", "aim": "latency target", "worth": "priority weight", "cold": "warming up",
	"ramp": "slow start", "drains": "draining", "leaves": "draining", "kept": "cached, idle", "took": "accepted", "taken": "accepted",
	"stands": "is usable", "stand": "status", "sits": "is a voter", "fate": "outcome", "good": "succeeded", "broken": "interrupted", "gone": "canceled",
	"suits": "is reusable", "lay": "merge", "lays": "merges", "unlike": "unexpected status", "afar": "remote", "lean": "discount, bias",
	"crowd": "congestion", "belief": "prior", "believe": "prior weight", "believed": "prior", "memo": "cache", "ticket": "reservation",
	"honest": "conservative", "look": "lookup", "hear": "receive", "heard": "received", "way": "route", "ways": "routes", "goes": "attempts",
	"epoch": "version", "expiry": "deadline", "opening": "prompt prefix", "cabs": "worker simulators", "rank": "platform simulator",
	"runner": "node agent", "place": "process settings, position", "hold": "lease, wait", "shed": "load shedding", "pinned": "affinity",
	"lies": "injected faults", "tenure": "lease", "most": "quorum or limit", "least": "minimum", "back": "retry after", "soon": "in flight",
	"maybe": "presumed", "sure": "confirmed",
}

// hiding lists words that must not replace a standard term in a declared name, each with that term.
var hiding = map[string]string{"expiry": "deadline", "expiries": "deadlines", "expire": "deadline", "expires": "deadline",
	"epoch": "version", "epochs": "version", "way": "route", "ways": "routes", "goes": "attempts"}

// wireForms matches the uses of withdrawn words in comments and strings that can't change: names on which other
// releases, operators' scripts and stored data depend.
var wireForms = regexp.MustCompile(strings.Join([]string{
	`"(archive|catalogue|appraiser|dispatcher|district|setup|tell|owns|not-owner)"`,                       // original roles, names of settings and JSON fields, states and outcomes, which other releases use
	`\b(archive|catalogue|appraiser|dispatcher)/`,                                                         // prefixes of node names, such as archive/core-1
	"`(district|setup [a-z]+)", `--district\b`, `\bx\.json: district\b`, `\bsetup_ms\b`, `\\tDISTRICT\\t`, // original names of settings, command-line flags and a column of the command line's output, which operators' scripts use
	`\bsetup (get|apply|patch|validate|render|diff|fly)\b`, // original names of commands, which operators' scripts use
	`/v1/setup\b`, `\.setup\b`, `\btestdata/setups\b`, `\bpebbleloom_(denied_total|setup_epoch)\b`,
	`\b(patch-setup|no-setup|setup-wrong|duties-unheld|duties of the)\b`,                              // kinds of problems, actions, and names of facts and runbooks in operators' reports
	`\b(New)?(Archive|Catalogue|Roster)(PathPrefix|Server|ProtobufClient)\b`, `\b(Get|Change)Setup\b`, // Go names generated from the RPC services and the OpenAPI documents
}, "|"))

// textsWithWithdrawn lists the comments and strings of a file that contain a withdrawn word (map withdrawn), other than
// in the forms that wireForms allows. Import paths and struct tags are skipped. It removes the struct tags from the
// syntax tree.
func textsWithWithdrawn(set *token.FileSet, parsed *ast.File) (found []string) {
	check := func(at token.Pos, text string) {
		if containsWithdrawn(text) && containsWithdrawn(wireForms.ReplaceAllString(text, "")) {
			found = append(found, set.Position(at).String()+": "+text)
		}
	}
	for _, g := range parsed.Comments {
		for _, c := range g.List {
			check(c.Pos(), c.Text)
		}
	}
	ast.Inspect(parsed, func(n ast.Node) bool {
		switch node := n.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.Field:
			node.Tag = nil
		case *ast.BasicLit:
			if node.Kind == token.STRING {
				check(node.Pos(), node.Value)
			}
		}
		return true
	})
	return found
}
