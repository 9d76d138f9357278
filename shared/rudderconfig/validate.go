package rudderconfig

import (
	"encoding/hex"
	"fmt"
	"path"
	"strings"
	"unicode"

	"github.com/cockroachdb/errors"
)

// ErrInvalid reports a document with findings of SeverityError.
var ErrInvalid = errors.New("configuration: invalid document")

// Severity is the severity of a finding. Only errors keep a document from being accepted.
type Severity string

// Severities of findings.
const (
	SeverityError   Severity = "error"
	SeverityWarning Severity = "warning"
)

// Rule identifies the validation rule that a finding violates.
type Rule string

// Validation rules.
const (
	RuleName             Rule = "name"
	RuleDuplicate        Rule = "duplicate"
	RuleUnknownReference Rule = "unknown_reference"
	RuleOtherFirm        Rule = "other_firm"
	RuleRange            Rule = "range"
	RuleValue            Rule = "value"
	RuleHash             Rule = "hash"
	RulePattern          Rule = "pattern"
	RuleWindow           Rule = "window"
	RuleNeverMatches     Rule = "never_matches"
	RuleOverlap          Rule = "overlap"
	RuleAmbiguous        Rule = "ambiguous"
	RuleNoEffect         Rule = "no_effect"
	RuleNotEnoughHosts   Rule = "not_enough_hosts"
)

// Finding is one error or warning about a document.
type Finding struct {
	Path     string   `json:"path"` // for example selectors[2].group_size
	Rule     Rule     `json:"rule"`
	Severity Severity `json:"severity"`
	Message  string   `json:"message"`
}

// String formats the finding as one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s (%s)", f.Severity, f.Path, f.Message, f.Rule)
}

// Findings lists the errors and warnings about a document.
type Findings []Finding

// Errors returns the findings that keep the document from being accepted.
func (f Findings) Errors() Findings { return f.withSeverity(SeverityError) }

// Warnings returns the findings that do not keep the document from being accepted.
func (f Findings) Warnings() Findings { return f.withSeverity(SeverityWarning) }

func (f Findings) withSeverity(s Severity) Findings {
	var selected Findings
	for _, finding := range f {
		if finding.Severity == s {
			selected = append(selected, finding)
		}
	}
	return selected
}

// Err returns ErrInvalid with the text of all errors, or nil if there are none.
func (f Findings) Err() error {
	findings := f.Errors()
	if len(findings) == 0 {
		return nil
	}
	lines := make([]string, len(findings))
	for i, finding := range findings {
		lines[i] = finding.String()
	}
	return errors.Wrap(ErrInvalid, strings.Join(lines, "; "))
}

// Validate checks a document and returns all findings, in document order.
func Validate(d Document) Findings {
	v := validation{document: &d, firms: d.Firms()}
	v.hosts()
	v.models()
	v.selectors()
	v.services()
	v.workspaces()
	v.operators()
	v.objectives()
	v.evacuations()
	return v.findings
}

// validation collects the findings about one document.
type validation struct {
	document *Document
	firms    map[string]bool
	findings Findings
}

func (v *validation) fail(rule Rule, path, format string, args ...any) {
	v.findings = append(v.findings, Finding{Path: path, Rule: rule, Severity: SeverityError, Message: fmt.Sprintf(format, args...)})
}

func (v *validation) warn(rule Rule, path, format string, args ...any) {
	v.findings = append(v.findings, Finding{Path: path, Rule: rule, Severity: SeverityWarning, Message: fmt.Sprintf(format, args...)})
}

// names checks that the names of a section's items can be used in paths and that their identities are unique.
func (v *validation) names(section string, count int, identity, name func(i int) string) {
	first := map[string]int{}
	for i := range count {
		at := fmt.Sprintf("%s[%d].name", section, i)
		if n := name(i); !isValidName(n) {
			v.fail(RuleName, at, "name %q is empty or has a space, slash or control character", n)
		}
		id := identity(i)
		if j, ok := first[id]; ok {
			v.fail(RuleDuplicate, at, "%q is already used by %s[%d]", id, section, j)
			continue
		}
		first[id] = i
	}
}

func isValidName(name string) bool {
	return name != "" && !strings.ContainsFunc(name, func(r rune) bool {
		return r == '/' || unicode.IsSpace(r) || unicode.IsControl(r)
	})
}

func (v *validation) hosts() {
	items := v.document.Hosts
	v.names("hosts", len(items), func(i int) string { return items[i].Name }, func(i int) string { return items[i].Name })
	builtIn := []string{LabelFabricDomain, LabelDataCentre, LabelRegion, LabelKind, LabelName}
	for i, h := range items {
		for _, label := range builtIn {
			if _, ok := h.Labels[label]; ok {
				v.warn(RuleNoEffect, fmt.Sprintf("hosts[%d].labels.%s", i, label), "host %q: the platform sets this label, so the value here has no effect", h.Name)
			}
		}
	}
}

func (v *validation) models() {
	items := v.document.Models
	v.names("models", len(items), func(i int) string { return modelIdentity(items[i]) }, func(i int) string { return items[i].Name })
	for i, m := range items {
		at := fmt.Sprintf("models[%d]", i)
		if m.WeightBytes < 0 {
			v.fail(RuleRange, at+".weight_bytes", "%d is negative", m.WeightBytes)
		}
		if m.SlotsPerGroup < 1 {
			v.fail(RuleRange, at+".slots_per_group", "%d is below 1", m.SlotsPerGroup)
		}
	}
}

func (v *validation) services() {
	items := v.document.Services
	v.names("services", len(items), func(i int) string { return items[i].Name }, func(i int) string { return items[i].Name })
	for i, s := range items {
		at := fmt.Sprintf("services[%d]", i)
		v.firmName(at+".firm", s.Firm)
		if s.MaxConcurrent < 0 {
			v.fail(RuleRange, at+".max_concurrent", "%d is negative", s.MaxConcurrent)
		}
		for j, rule := range s.Idempotent {
			in := fmt.Sprintf("%s.idempotent[%d]", at, j)
			if rule.Method == "" || rule.Method != strings.ToUpper(rule.Method) {
				v.fail(RuleValue, in+".method", "%q is not a method in capitals", rule.Method)
			}
			if _, err := path.Match(rule.Path, "/"); err != nil || rule.Path == "" {
				v.fail(RulePattern, in+".path", "%q is not a path pattern", rule.Path)
			}
		}
	}
}

// firmName checks the firm of a workspace or service. Any non-empty name is valid, because these items define which
// firms exist.
func (v *validation) firmName(at, firm string) {
	if firm == "" {
		v.fail(RuleName, at, "the firm is empty")
	}
}

// knownFirm checks that a firm that an item refers to exists.
func (v *validation) knownFirm(at, firm string) {
	if !v.firms[firm] {
		v.fail(RuleUnknownReference, at, "firm %q has no workspace and no service", firm)
	}
}

func (v *validation) hash(at, hash string, seen map[string]string) {
	if raw, err := hex.DecodeString(hash); err != nil || len(raw) != 32 || hash != strings.ToLower(hash) {
		v.fail(RuleHash, at, "not a SHA-256 hash in lower-case hex")
		return
	}
	if first, ok := seen[hash]; ok {
		v.fail(RuleDuplicate, at, "the hash is already used at %s", first)
		return
	}
	seen[hash] = at
}
