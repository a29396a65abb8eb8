// Command randomday writes a day of the users' bench on which the control side has its worst troubles:
// many at once, again and again, drawn from a seed. It reads the traffic from a day of a site file.
//
//	randomday -site SITE.toml -seed 7 > day.toml; fleetbench run SITE.toml day.toml --why "…"
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"

	"github.com/BurntSushi/toml"
)

// site is what is read of a site file.
type site struct {
	LengthS float64 `toml:"length_s"`
	Day     []struct {
		Name string
		Slot string
	}
}

// trouble is one line of a day. Strengths and times are drawn between their bounds.
type trouble struct {
	kind     string
	how      []string // one of these; none: without
	fields   string   // constant fields, as they stand in the file
	shortest float64  // seconds that it lasts; 0: it has no duration
	longest  float64
}

// plans are planned work, faults the rest. Each may come more than once.
var plans = []trouble{
	{kind: "config_race", fields: "count = 5, gap_s = 0.7"},
	{kind: "config_storm", fields: "gap_s = 0.15", shortest: 4, longest: 12},
	{kind: "config_change", how: []string{"route", "weights", "timeout", "tenant", "idle"}},
	{kind: "big_config", fields: "count = 300"},
	{kind: "bad_config", fields: "count = 3, gap_s = 0.8"},
	{kind: "revoke", fields: "count = 3, gap_s = 1.5"},
	{kind: "version_bump", fields: "count = 0"},
	{kind: "version_bump", fields: "count = 0"}, // twice as often: one named before the roll-out of another is over
	{kind: "release", fields: "share = 0.4, x = 2.0, gap_s = 1.0"},
	{kind: "scale_in", how: []string{"", "spot"}, fields: "share = 0.15"},
	{kind: "roll_term", how: []string{"", "busy", "leader"}, fields: `on = "core", x = 1.0, gap_s = 1.2`},
	{kind: "replace_core", how: []string{"planned"}, fields: "count = 1, x = 1.0"},
	{kind: "hup", fields: "share = 0.5, gap_s = 2.0"},
	{kind: "seed_turnover"},
}

var faults = []trouble{
	{kind: "core_cut", how: []string{"leader", "leader one_way", "one_way", "seeds", "both", "leader race", "meet", "leader reset", "refuse race", "reader"}, fields: "count = 1", shortest: 3, longest: 20},
	{kind: "node_kill", how: []string{"leader", "leader race", "leader meet", "leader hard", "power leader", "power leader meet", "seed hard"}, fields: `on = "core", count = 1`, shortest: 1, longest: 6},
	{kind: "node_freeze", how: []string{"", "leader", "leader race", "leader meet"}, fields: `on = "core", count = 1`, shortest: 2, longest: 12},
	{kind: "node_slow", how: []string{"", "leader"}, fields: `on = "core", count = 1, x = 6.0`, shortest: 3, longest: 9},
	{kind: "after_ack_kill", how: []string{"", "kill", "timed", "taken"}, shortest: 1, longest: 4},
	{kind: "after_ack_wipe", how: []string{"", "timed"}, shortest: 1, longest: 4},
	{kind: "replace_core", how: []string{"", "leader"}, fields: "count = 1, x = 1.5"},
	{kind: "herd_kill", how: []string{"", "power", "taken"}, fields: `on = "core", share = 1.0`, shortest: 0.5, longest: 2},
	{kind: "disk_slow", how: []string{"", "leader"}, fields: "count = 1, x = 30.0", shortest: 3, longest: 9},
	{kind: "disk_full", how: []string{"", "leader"}, fields: "count = 1", shortest: 3, longest: 9},
	{kind: "disk_stall", how: []string{"", "leader"}, fields: "count = 1", shortest: 2, longest: 6},
	{kind: "ack_lost", fields: "x = 0.7", shortest: 4, longest: 16},
	{kind: "clock_step", how: []string{"", "back", "ahead"}, fields: "share = 0.5, x = 3000.0", shortest: 3, longest: 8},
	{kind: "reset_conns", fields: "share = 0.5, x = 0.6", shortest: 1, longest: 2},
	{kind: "node_cut", fields: "share = 0.15", shortest: 3, longest: 9},
	{kind: "garble", how: []string{"extra", "extra late"}, fields: "share = 0.5, x = 0.03", shortest: 3, longest: 8},
	{kind: "answer_lost", how: []string{"", "reset"}, fields: "share = 0.5, x = 0.05", shortest: 3, longest: 8},
	{kind: "srv_crash", how: []string{"", "dark", "gone"}, fields: "share = 0.15", shortest: 2, longest: 6},
	{kind: "srv_grey", how: []string{"errors", "shed", "busy", "hang", "reset", "mute", "slow"}, fields: "share = 0.15, x = 0.4", shortest: 3, longest: 8},
	{kind: "srv_lying_health", how: []string{"errors", "hang", "reset", "bad"}, fields: "share = 0.12", shortest: 3, longest: 8},
	{kind: "srv_flap", fields: "share = 0.12, gap_s = 1.5", shortest: 4, longest: 9},
	{kind: "events_gap", fields: "share = 0.4", shortest: 3, longest: 8},
	{kind: "replace_with_reuse", how: []string{"", "drain", "dark"}, fields: "share = 0.15", shortest: 3, longest: 6},
}

var closings = []string{
	`{ kind = "power_off_all", down_s = 1.1 }`,
	`{ kind = "kill_all", down_s = 1.0 }`,
	`{ kind = "wipe_after_ack", down_s = 1.2 }`,
	`{ kind = "wipe_after_ack", down_s = 0.7, how = "timed" }`,
	`{ kind = "wipe_after_ack", down_s = 1.5, how = "aimed" }`,
	`{ kind = "power_off_all", down_s = 1.3, how = "timed" }`,
}

// line draws one entry that begins within the day.
func (t trouble) line(r *rand.Rand, length float64) string {
	fields := []string{fmt.Sprintf("at = %.2f, kind = %q", 1+r.Float64()*length*0.8, t.kind)}
	if t.fields != "" {
		fields = append(fields, t.fields)
	}
	if t.longest > 0 {
		fields = append(fields, fmt.Sprintf("for_s = %.2f", t.shortest+r.Float64()*(t.longest-t.shortest)))
	}
	if len(t.how) > 0 {
		if how := t.how[r.IntN(len(t.how))]; how != "" {
			fields = append(fields, fmt.Sprintf("how = %q", how))
		}
	}
	return "  { " + strings.Join(fields, ", ") + " },"
}

// draw takes count entries, which may repeat.
func draw(r *rand.Rand, from []trouble, count int, length float64) string {
	lines := make([]string, 0, count)
	for range count {
		lines = append(lines, from[r.IntN(len(from))].line(r, length))
	}
	return strings.Join(lines, "\n")
}

// block is the text of a value that spans lines, in the day that holds it.
func block(day, name string) (string, error) {
	begin := strings.Index(day, "\n"+name+" = [")
	if begin < 0 {
		return "", fmt.Errorf("the day has no %s: name another with -day", name)
	}
	rest := day[begin+1:]
	end := strings.Index(rest, "\n]")
	if end < 0 {
		return "", fmt.Errorf("%s has no end", name)
	}
	return rest[:end+2], nil
}

// small is the line that gives a large day's small twin, if there is one.
func small(day string) string {
	for line := range strings.Lines(day) {
		if strings.HasPrefix(line, "small = ") {
			return line
		}
	}
	return ""
}

func write(path, base string, seed uint64) (string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	s := site{}
	if _, err := toml.Decode(string(raw), &s); err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	for i, text := range strings.Split(string(raw), "[[day]]")[1:] {
		if s.Day[i].Name != base {
			continue
		}
		traffic, err := block(text, "traffic")
		if err != nil {
			return "", err
		}
		r := rand.New(rand.NewPCG(seed, 1))
		return fmt.Sprintf("[[day]]\nname = \"random-%d\"\nslot = %q\nseed = %d\nclosing = %s\n%sone = 0.8\nzero = 0.1\ngoal = { floor = 0.05 }\nfloor_classes = [0.01]\nfloor_zones = [0.01]\nlabels = []\nwall = 8.0\nlight = true\nplan = [\n%s\n]\nfaults = [\n%s\n]\n%s\n",
			seed, s.Day[i].Slot, seed, closings[r.IntN(len(closings))], small(text),
			draw(r, plans, 3+r.IntN(4), s.LengthS), draw(r, faults, 4+r.IntN(5), s.LengthS), traffic), nil
	}
	return "", fmt.Errorf("%s has no day %q", path, base)
}

func main() {
	path := flag.String("site", "", "the site file")
	base := flag.String("day", "trouble-1", "the day whose traffic is taken")
	seed := flag.Uint64("seed", 1, "what the troubles are drawn from")
	flag.Parse()
	day, err := write(*path, *base, *seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, "randomday:", err)
		os.Exit(1)
	}
	fmt.Print(day)
}
