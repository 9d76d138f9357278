package rudderconfig

import (
	"maps"
	"slices"

	"comfreyrudder.example/shared/rudderhost"
)

// Built-in labels, which every host has. Platform and operator labels cannot override them.
const (
	LabelFabricDomain = "fabric_domain"
	LabelDataCentre   = "data_centre"
	LabelRegion       = "region"
	LabelKind         = "kind"
	LabelName         = "name"
)

// SettingsOf returns the operators' settings of a host. A host without settings gets the zero value with its name.
func (d *Document) SettingsOf(host string) HostSettings {
	for _, s := range d.Hosts {
		if s.Name == host {
			return s
		}
	}
	return HostSettings{Name: host}
}

// LabelsOf returns the labels of a host against which selectors are matched.
func (d *Document) LabelsOf(h rudderhost.Host) map[string]string {
	return HostLabels(h, d.SettingsOf(h.Name))
}

// HostLabels merges a host's labels. Operator labels override the platform's, and built-in labels override both.
func HostLabels(h rudderhost.Host, settings HostSettings) map[string]string {
	labels := make(map[string]string, len(h.Labels)+len(settings.Labels)+5)
	maps.Copy(labels, h.Labels)
	maps.Copy(labels, settings.Labels)
	labels[LabelFabricDomain] = h.FabricDomain
	labels[LabelDataCentre] = h.DataCentre
	labels[LabelRegion] = h.Region
	labels[LabelKind] = string(h.Kind)
	labels[LabelName] = h.Name
	return labels
}

// Matches reports whether a host with the given labels satisfies every requirement of the selector. A host without
// the label satisfies NotIn. An unknown operator matches no host.
func (s Selector) Matches(labels map[string]string) bool {
	for k, v := range s.MatchLabels {
		if got, ok := labels[k]; !ok || got != v {
			return false
		}
	}
	for _, r := range s.MatchExpressions {
		if !r.matches(labels) {
			return false
		}
	}
	return true
}

func (r LabelRequirement) matches(labels map[string]string) bool {
	value, ok := labels[r.Key]
	switch r.Operator {
	case OperatorIn:
		return ok && slices.Contains(r.Values, value)
	case OperatorNotIn:
		return !ok || !slices.Contains(r.Values, value)
	case OperatorExists:
		return ok
	case OperatorDoesNotExist:
		return !ok
	}
	return false
}
