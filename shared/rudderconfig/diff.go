package rudderconfig

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// ChangeKind is the kind of difference in an item.
type ChangeKind string

// Kinds of changes.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	ChangeChanged ChangeKind = "changed"
)

// FieldChange is a field whose value differs. Before and After are JSON, or empty if the field is absent.
type FieldChange struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Change is the difference in one named item between two documents.
type Change struct {
	Kind    ChangeKind    `json:"kind"`
	Section string        `json:"section"`
	Name    string        `json:"name"`
	Fields  []FieldChange `json:"fields,omitempty"`
}

// String formats the change as one line, followed by one line for each changed field.
func (c Change) String() string {
	var text strings.Builder
	sign := map[ChangeKind]string{ChangeAdded: "+", ChangeRemoved: "-", ChangeChanged: "~"}[c.Kind]
	fmt.Fprintf(&text, "%s %s %s", sign, c.Section, c.Name)
	for _, f := range c.Fields {
		fmt.Fprintf(&text, "\n    %s: %s -> %s", f.Path, orNone(f.Before), orNone(f.After))
	}
	return text.String()
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

// DiffText formats changes for operators, one item after the other.
func DiffText(changes []Change) string {
	lines := make([]string, len(changes))
	for i, c := range changes {
		lines[i] = c.String()
	}
	return strings.Join(lines, "\n")
}

// Diff returns the changes from one document to another, by section and name. It ignores the order of items, the
// version, the author, the time and the summary.
func Diff(before, after Document) []Change {
	return slices.Concat(
		diffItems("hosts", before.Hosts, after.Hosts, hostIdentity),
		diffItems("models", before.Models, after.Models, modelIdentity),
		diffItems("selectors", before.Selectors, after.Selectors, selectorIdentity),
		diffItems("services", before.Services, after.Services, serviceIdentity),
		diffItems("workspaces", before.Workspaces, after.Workspaces, workspaceIdentity),
		diffItems("operators", before.Operators, after.Operators, operatorIdentity),
		diffItems("objectives", before.Objectives, after.Objectives, objectiveIdentity),
		diffItems("evacuated_data_centres", before.EvacuatedDataCentres, after.EvacuatedDataCentres, dataCentreIdentity),
	)
}

func diffItems[T any](section string, before, after []T, identity func(T) string) []Change {
	old, current := fieldsByName(before, identity), fieldsByName(after, identity)
	names := slices.Concat(slices.Collect(maps.Keys(old)), slices.Collect(maps.Keys(current)))
	slices.Sort(names)
	var changes []Change
	for _, name := range slices.Compact(names) {
		o, inOld := old[name]
		c, inCurrent := current[name]
		switch {
		case !inOld:
			changes = append(changes, Change{Kind: ChangeAdded, Section: section, Name: name})
		case !inCurrent:
			changes = append(changes, Change{Kind: ChangeRemoved, Section: section, Name: name})
		default:
			if fields := diffFields(o, c); len(fields) > 0 {
				changes = append(changes, Change{Kind: ChangeChanged, Section: section, Name: name, Fields: fields})
			}
		}
	}
	return changes
}

func diffFields(before, after map[string]string) []FieldChange {
	paths := slices.Concat(slices.Collect(maps.Keys(before)), slices.Collect(maps.Keys(after)))
	slices.Sort(paths)
	var fields []FieldChange
	for _, p := range slices.Compact(paths) {
		if before[p] != after[p] {
			fields = append(fields, FieldChange{Path: p, Before: before[p], After: after[p]})
		}
	}
	return fields
}

func fieldsByName[T any](items []T, identity func(T) string) map[string]map[string]string {
	byName := map[string]map[string]string{}
	for _, item := range items {
		fields := map[string]string{}
		raw, err := json.Marshal(item)
		var tree any
		if err != nil || json.Unmarshal(raw, &tree) != nil {
			continue // not reached: item types always marshal
		}
		flatten("", tree, fields)
		byName[identity(item)] = fields
	}
	return byName
}

// flatten collects the leaf values of a JSON object by path. Lists are leaves, so that inserting an element is not
// reported as a change of every later one.
func flatten(path string, value any, into map[string]string) {
	object, ok := value.(map[string]any)
	if !ok {
		raw, _ := json.Marshal(value)
		into[path] = string(raw)
		return
	}
	for name, v := range object {
		child := name
		if path != "" {
			child = path + "." + name
		}
		flatten(child, v, into)
	}
}
