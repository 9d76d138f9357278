package rudderconfig

import (
	"maps"
	"slices"

	"comfreyrudder.example/shared/rudderhost"
)

// Labels that every host has. They cannot be overlaid.
const (
	LabelFabricDomain = "fabric_domain"
	LabelDataCentre   = "data_centre"
	LabelRegion       = "region"
	LabelKind         = "kind"
	LabelName         = "name"
)

// SettingsOf returns the operators' settings of a host; the zero settings with the name if there are none.
func (d *Document) SettingsOf(host string) HostSettings {
	for _, s := range d.Hosts {
		if s.Name == host {
			return s
		}
	}
	return HostSettings{Name: host}
}

// LabelsOf returns the labels that selectors see on a host.
func (d *Document) LabelsOf(h rudderhost.Host) map[string]string {
	return HostLabels(h, d.SettingsOf(h.Name))
}

// HostLabels merges the platform's labels, the operators' labels over them, and the built-in labels.
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

// Matches reports whether a host with these labels satisfies every requirement of the selector.
// NotIn is satisfied by a host without the label. An unknown operator matches nothing.
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
