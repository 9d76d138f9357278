package rudderconfig

func find[T any](items []T, match func(T) bool) (T, bool) {
	for _, item := range items {
		if match(item) {
			return item, true
		}
	}
	var zero T
	return zero, false
}

// Workspace returns the workspace with the given name.
func (d *Document) Workspace(name string) (Workspace, bool) {
	return find(d.Workspaces, func(w Workspace) bool { return w.Name == name })
}

// Selector returns the selector with the given name.
func (d *Document) Selector(name string) (Selector, bool) {
	return find(d.Selectors, func(s Selector) bool { return s.Name == name })
}

// Service returns the service with the given name.
func (d *Document) Service(name string) (Service, bool) {
	return find(d.Services, func(s Service) bool { return s.Name == name })
}

// Model returns the model with the given name and version. An empty version matches the first model of that name.
func (d *Document) Model(name, version string) (Model, bool) {
	return find(d.Models, func(m Model) bool { return m.Name == name && (version == "" || m.Version == version) })
}

// Operator returns the operator with the given name.
func (d *Document) Operator(name string) (Operator, bool) {
	return find(d.Operators, func(o Operator) bool { return o.Name == name })
}

// Objective returns the objective of a workspace, or that of its firm if the workspace has none.
func (d *Document) Objective(firm, workspace string) (Objective, bool) {
	objective, ok := find(d.Objectives, func(o Objective) bool { return o.Firm == firm && o.Workspace == workspace })
	if ok || workspace == "" {
		return objective, ok
	}
	return d.Objective(firm, "")
}

// Firms returns the set of firms that have workspaces or services.
func (d *Document) Firms() map[string]bool {
	firms := map[string]bool{}
	for _, w := range d.Workspaces {
		firms[w.Firm] = true
	}
	for _, s := range d.Services {
		firms[s.Firm] = true
	}
	return firms
}
