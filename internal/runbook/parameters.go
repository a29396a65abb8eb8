package runbook

import (
	"regexp"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/maputil"
)

var parameterPattern = regexp.MustCompile(`\{([a-z_]+)\}`)

// parameters returns the names of all parameters in a step's text, match and arguments; a name that occurs
// repeatedly is returned repeatedly.
func (s *Step) parameters() []string {
	texts := []string{s.Text}
	for _, values := range []map[string]string{s.Match, s.Args} {
		for _, key := range maputil.SortedKeys(values) {
			texts = append(texts, values[key])
		}
	}
	var names []string
	for _, text := range texts {
		for _, match := range parameterPattern.FindAllStringSubmatch(text, -1) {
			names = append(names, match[1])
		}
	}
	return names
}

// Substitute returns a copy of the runbook with its parameters replaced by values. A missing or unknown
// parameter is an error of kind errs.BadInput.
//
// Example: substituted, err := b.Substitute(map[string]string{"worker": "worker-3"})
func (b *Runbook) Substitute(values map[string]string) (*Runbook, error) {
	var faults errs.Batch
	for _, name := range maputil.SortedKeys(b.Params) {
		if values[name] == "" {
			faults.Addf(errs.BadInput, "runbook parameter %s (%s) is missing: add --set %s=VALUE", name, b.Params[name], name)
		}
	}
	for _, name := range maputil.SortedKeys(values) {
		if _, known := b.Params[name]; !known {
			faults.Addf(errs.BadInput, "parameter %s is unknown: this runbook has the parameters %v", name, maputil.SortedKeys(b.Params))
		}
	}
	if err := faults.Err(); err != nil {
		return nil, err
	}
	substituted := *b
	substituted.Steps = nil
	for _, step := range b.Steps {
		step.Text = substitute(step.Text, values)
		step.Match = substituteAll(step.Match, values)
		step.Args = substituteAll(step.Args, values)
		substituted.Steps = append(substituted.Steps, step)
	}
	return &substituted, nil
}

func substitute(text string, values map[string]string) string {
	return parameterPattern.ReplaceAllStringFunc(text, func(parameter string) string {
		return values[parameter[1:len(parameter)-1]]
	})
}

func substituteAll(texts, values map[string]string) map[string]string {
	substituted := map[string]string{}
	for key, text := range texts {
		substituted[key] = substitute(text, values)
	}
	return substituted
}
