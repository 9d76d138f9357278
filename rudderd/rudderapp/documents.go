package rudderapp

import (
	"context"
	"strings"

	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
)

func parseDocument(text []byte) (*rudderconfig.Document, error) {
	document, err := rudderconfig.Parse(text)
	return &document, err
}

func mergeDocuments(base, partial *rudderconfig.Document) *rudderconfig.Document {
	merged := rudderconfig.Merge(*base, *partial)
	return &merged
}

func diffLines(before, after *rudderconfig.Document) []string {
	text := rudderconfig.DiffText(rudderconfig.Diff(*before, *after))
	return strings.FieldsFunc(text, func(r rune) bool { return r == '\n' })
}

// checkDocument validates a document, and checks it against the platform's list of hosts if that can be read.
func (a *App) checkDocument(ctx context.Context, document *rudderconfig.Document) []rudderadmin.Finding {
	faults := rudderconfig.Validate(*document)
	if hosts, err := a.hosts.Hosts(ctx); err == nil {
		faults = append(faults, rudderconfig.CheckAgainstHosts(*document, hosts)...)
	}
	findings := make([]rudderadmin.Finding, 0, len(faults))
	for _, f := range faults {
		findings = append(findings, rudderadmin.Finding{Severity: string(f.Severity), Path: f.Path, Message: f.Message})
	}
	return findings
}

func validateDocument(document *rudderconfig.Document) error {
	return rudderconfig.Validate(*document).Err()
}
