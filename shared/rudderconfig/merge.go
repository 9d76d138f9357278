package rudderconfig

import "slices"

// The identity functions return the key of an item within its section.

func hostIdentity(h HostSettings) string   { return h.Name }
func modelIdentity(m Model) string         { return m.Name + "@" + m.Version }
func selectorIdentity(s Selector) string   { return s.Name }
func serviceIdentity(s Service) string     { return s.Name }
func workspaceIdentity(w Workspace) string { return w.Name }
func operatorIdentity(o Operator) string   { return o.Name }
func objectiveIdentity(o Objective) string {
	if o.Workspace == "" {
		return o.Firm
	}
	return o.Firm + "/" + o.Workspace
}

// Merge applies a partial document to a base. Items with the same identity are replaced as a whole, other items are
// added, and nothing is removed. Version, author and time are those of the base;
// the summary is that of the partial document if it has one.
func Merge(base, partial Document) Document {
	merged := base
	merged.Hosts = mergeItems(base.Hosts, partial.Hosts, hostIdentity)
	merged.Models = mergeItems(base.Models, partial.Models, modelIdentity)
	merged.Selectors = mergeItems(base.Selectors, partial.Selectors, selectorIdentity)
	merged.Services = mergeItems(base.Services, partial.Services, serviceIdentity)
	merged.Workspaces = mergeItems(base.Workspaces, partial.Workspaces, workspaceIdentity)
	merged.Operators = mergeItems(base.Operators, partial.Operators, operatorIdentity)
	merged.Objectives = mergeItems(base.Objectives, partial.Objectives, objectiveIdentity)
	merged.EvacuatedDataCentres = mergeItems(base.EvacuatedDataCentres, partial.EvacuatedDataCentres, dataCentreIdentity)
	slices.Sort(merged.EvacuatedDataCentres)
	if partial.Summary != "" {
		merged.Summary = partial.Summary
	}
	return merged
}

func mergeItems[T any](base, partial []T, identity func(T) string) []T {
	merged := slices.Clone(base)
	for _, p := range partial {
		i := slices.IndexFunc(merged, func(b T) bool { return identity(b) == identity(p) })
		if i < 0 {
			merged = append(merged, p)
			continue
		}
		merged[i] = p
	}
	return merged
}
