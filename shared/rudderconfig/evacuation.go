package rudderconfig

import (
	"fmt"
	"slices"

	"comfreyrudder.example/shared/rudderhost"
)

// Evacuated reports whether the targets of a data centre get no new work.
func (d *Document) Evacuated(dataCentre string) bool {
	return slices.Contains(d.EvacuatedDataCentres, dataCentre)
}

// SetEvacuated begins or ends the evacuation of a data centre. The list stays sorted.
func (d *Document) SetEvacuated(dataCentre string, evacuated bool) {
	list := slices.DeleteFunc(slices.Clone(d.EvacuatedDataCentres), func(name string) bool { return name == dataCentre })
	if evacuated {
		list = append(list, dataCentre)
	}
	slices.Sort(list)
	d.EvacuatedDataCentres = list
}

func dataCentreIdentity(name string) string { return name }

func (v *validation) evacuations() {
	first := map[string]int{}
	for i, name := range v.document.EvacuatedDataCentres {
		at := fmt.Sprintf("evacuated_data_centres[%d]", i)
		if !isValidName(name) {
			v.fail(RuleName, at, "name %q is empty or has a space, slash or control character", name)
		}
		if j, used := first[name]; used {
			v.fail(RuleDuplicate, at, "%q is already listed as evacuated_data_centres[%d]", name, j)
			continue
		}
		first[name] = i
	}
}

// evacuationsAgainstHosts warns of evacuated data centres without hosts, and of evacuations that leave no host.
func (v *validation) evacuationsAgainstHosts(hosts []rudderhost.Host) {
	known, left := map[string]bool{}, false
	for _, h := range hosts {
		known[h.DataCentre] = true
		left = left || !v.document.Evacuated(h.DataCentre)
	}
	for i, name := range v.document.EvacuatedDataCentres {
		if !known[name] {
			v.warn(RuleUnknownReference, fmt.Sprintf("evacuated_data_centres[%d]", i), "no host is in data centre %q", name)
		}
	}
	if len(hosts) > 0 && !left {
		v.warn(RuleNotEnoughHosts, "evacuated_data_centres", "every data centre with hosts is evacuated, so new work is refused")
	}
}
