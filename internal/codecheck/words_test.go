package codecheck

import (
	"go/ast"
	"go/token"
	"regexp"
	"strings"
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

// plain are everyday words that the users' pages use for concepts which the field has terms for, beside
// these terms. Some are right in another sense (a round of a search, a cut of a log): each use is read
// before it is renamed, so the table of what is left counts them and may only fall.
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

// hiding words are ones of our own making where the field has a standard term.
var hiding = map[string]string{"expiry": "deadline", "expiries": "deadlines", "expire": "deadline", "expires": "deadline",
	"epoch": "version", "epochs": "version", "way": "route", "ways": "routes", "goes": "attempts"}

// wireForms are the places where a withdrawn word has to stand in a comment or a string: names that
// mixed releases, operators' scripts and stored data share.
var wireForms = regexp.MustCompile(strings.Join([]string{
	`"(archive|catalogue|appraiser|dispatcher|district|setup|tell|owns|not-owner)"`,                       // roles, fields of settings and JSON, states, outcomes
	`\b(archive|catalogue|appraiser|dispatcher)/`,                                                         // names of nodes
	"`(district|setup [a-z]+)", `--district\b`, `\bx\.json: district\b`, `\bsetup_ms\b`, `\\tDISTRICT\\t`, // settings, flags, a column
	`\bsetup (get|apply|patch|validate|render|diff|fly)\b`, // first names of commands
	`/v1/setup\b`, `\.setup\b`, `\btestdata/setups\b`, `\bpebbleloom_(denied_total|setup_epoch)\b`,
	`\b(patch-setup|no-setup|setup-wrong|duties-unheld|duties of the)\b`,                              // kinds of problems, actions, names of facts and runbooks
	`\b(New)?(Archive|Catalogue|Roster)(PathPrefix|Server|ProtobufClient)\b`, `\b(Get|Change)Setup\b`, // generated from the services on the wire
}, "|"))

// textsWithWithdrawn lists the comments and strings of a file that hold a withdrawn word. Imports and
// fields' tags don't count.
func textsWithWithdrawn(set *token.FileSet, parsed *ast.File) (found []string) {
	check := func(at token.Pos, text string) {
		if holdsWithdrawn(text) && holdsWithdrawn(wireForms.ReplaceAllString(text, "")) {
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
