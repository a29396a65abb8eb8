// Command randomday writes a random test scenario (a "day" in the site file of the benchmark tool fleetbench) with many
// concurrent faults, mostly of the control plane. The faults depend only on the seed. The traffic is copied from an
// existing day of the site file.
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

// site has the fields of a benchmark site file that randomday reads: the length of a day in seconds, and the days.
type site struct {
	LengthS float64 `toml:"length_s"`
	Day     []struct {
		Name string
		Slot string
	}
}

// faultKind describes one kind of scenario entry, a planned operation or a fault, and what is drawn at random for it.
type faultKind struct {
	kind     string
	how      []string // variants, of which one is drawn; if there are none or "" is drawn, the field is omitted
	fields   string   // fields with constant values, as TOML text
	shortest float64  // minimum duration in seconds
	longest  float64  // maximum duration in seconds; 0: the entry has no duration
}

// plans lists the kinds of planned operations; each may be drawn several times for a scenario. The order of this list
// and of faults matters: if it changes, a seed yields another scenario.
var plans = []faultKind{
	{kind: "config_race", fields: "count = 5, gap_s = 0.7"},
	{kind: "config_storm", fields: "gap_s = 0.15", shortest: 4, longest: 12},
	{kind: "config_change", how: []string{"route", "weights", "timeout", "tenant", "idle"}},
	{kind: "big_config", fields: "count = 300"},
	{kind: "bad_config", fields: "count = 3, gap_s = 0.8"},
	{kind: "revoke", fields: "count = 3, gap_s = 1.5"},
	{kind: "version_bump", fields: "count = 0"},
	{kind: "version_bump", fields: "count = 0"}, // a second time, so that it is drawn more often and rollouts overlap
	{kind: "release", fields: "share = 0.4, x = 2.0, gap_s = 1.0"},
	{kind: "scale_in", how: []string{"", "spot"}, fields: "share = 0.15"},
	{kind: "roll_term", how: []string{"", "busy", "leader"}, fields: `on = "core", x = 1.0, gap_s = 1.2`},
	{kind: "replace_core", how: []string{"planned"}, fields: "count = 1, x = 1.0"},
	{kind: "hup", fields: "share = 0.5, gap_s = 2.0"},
	{kind: "seed_turnover"},
}

// faults lists the kinds of faults to inject; each may be drawn several times for a scenario.
var faults = []faultKind{
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
	{kind: "core_cut", how: []string{"split", "split meet", "split race", "split one_way", "relieve", "all", "near", "behind"}, fields: "count = 1", shortest: 3, longest: 9},
	{kind: "core_cut", how: []string{"split", "split meet", "lure"}, fields: "count = 1", shortest: 3, longest: 9},
	{kind: "herd_kill", how: []string{"taken all", "power off"}, fields: `on = "core", share = 1.0`, shortest: 0.5, longest: 2},
	{kind: "srv_cut", how: []string{"", "fronts", "some", "one_way", "reset"}, fields: "share = 0.2", shortest: 3, longest: 8},
	{kind: "give_up", fields: "share = 0.2", shortest: 3, longest: 8},
	{kind: "retry_abuse", fields: "share = 0.2, x = 2.0", shortest: 3, longest: 8},
}

// closings lists the faults, as TOML text, of which one is injected at the end of a scenario.
var closings = []string{
	`{ kind = "power_off_all", down_s = 1.1 }`,
	`{ kind = "kill_all", down_s = 1.0 }`,
	`{ kind = "wipe_after_ack", down_s = 1.2 }`,
	`{ kind = "wipe_after_ack", down_s = 0.7, how = "timed" }`,
	`{ kind = "wipe_after_ack", down_s = 1.5, how = "aimed" }`,
	`{ kind = "power_off_all", down_s = 1.3, how = "timed" }`,
	`{ kind = "wipe_after_ack", down_s = 1.4, how = "oldest" }`,
	`{ kind = "wipe_after_ack", down_s = 1.0, how = "taken" }`,
}

// line returns a random entry of this kind as a line of TOML, for a scenario that lasts length seconds. The entry starts
// after the first second, within 80% of the length.
func (k faultKind) line(random *rand.Rand, length float64) string {
	fields := []string{fmt.Sprintf("at = %.2f, kind = %q", 1+random.Float64()*length*0.8, k.kind)}
	if k.fields != "" {
		fields = append(fields, k.fields)
	}
	if k.longest > 0 {
		fields = append(fields, fmt.Sprintf("for_s = %.2f", k.shortest+random.Float64()*(k.longest-k.shortest)))
	}
	if len(k.how) > 0 {
		if how := k.how[random.IntN(len(k.how))]; how != "" {
			fields = append(fields, fmt.Sprintf("how = %q", how))
		}
	}
	return "  { " + strings.Join(fields, ", ") + " },"
}

// drawLines returns count random entries, one a line; each is of a kind drawn from the list, with repetition.
func drawLines(random *rand.Rand, from []faultKind, count int, length float64) string {
	lines := make([]string, 0, count)
	for range count {
		lines = append(lines, from[random.IntN(len(from))].line(random, length))
	}
	return strings.Join(lines, "\n")
}

// valueText returns the TOML text of the named multi-line array in a day, including its name.
func valueText(day, name string) (string, error) {
	begin := strings.Index(day, "\n"+name+" = [")
	if begin < 0 {
		return "", fmt.Errorf("the day has no multi-line array %q to copy: select another day with -day", name)
	}
	rest := day[begin+1:]
	end := strings.Index(rest, "\n]")
	if end < 0 {
		return "", fmt.Errorf("array %q of the day has no closing bracket at the start of a line", name)
	}
	return rest[:end+2], nil
}

// smallLine returns the line of a large day that names its small variant (field small), or "" if there is none.
func smallLine(day string) string {
	for line := range strings.Lines(day) {
		if strings.HasPrefix(line, "small = ") {
			return line
		}
	}
	return ""
}

// randomDay returns a random scenario as TOML, with the traffic of the day named base in the site file at path.
func randomDay(path, base string, seed uint64) (string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	siteFile := site{}
	if _, err := toml.Decode(string(raw), &siteFile); err != nil {
		return "", fmt.Errorf("decode site file %s: %w", path, err)
	}
	for i, text := range strings.Split(string(raw), "[[day]]")[1:] {
		if siteFile.Day[i].Name != base {
			continue
		}
		traffic, err := valueText(text, "traffic")
		if err != nil {
			return "", err
		}
		random := rand.New(rand.NewPCG(seed, 1))
		return fmt.Sprintf("[[day]]\nname = \"random-%d\"\nslot = %q\nseed = %d\nclosing = %s\n%sone = 0.8\nzero = 0.1\ngoal = { floor = 0.05 }\nfloor_classes = [0.01]\nfloor_zones = [0.01]\nlabels = []\nwall = 8.0\nlight = true\nplan = [\n%s\n]\nfaults = [\n%s\n]\n%s\n",
			seed, siteFile.Day[i].Slot, seed, closings[random.IntN(len(closings))], smallLine(text),
			drawLines(random, plans, 3+random.IntN(4), siteFile.LengthS), drawLines(random, faults, 4+random.IntN(5), siteFile.LengthS), traffic), nil
	}
	return "", fmt.Errorf("site file %s has no day named %q", path, base)
}

func main() {
	path := flag.String("site", "", "path of the site file (TOML) to read")
	base := flag.String("day", "trouble-1", "name of the day in the site file whose traffic is copied")
	seed := flag.Uint64("seed", 1, "seed of the random number generator that draws the operations and faults")
	flag.Parse()
	day, err := randomDay(*path, *base, *seed)
	if err != nil {
		fmt.Fprintln(os.Stderr, "randomday:", err)
		os.Exit(1)
	}
	fmt.Print(day)
}
