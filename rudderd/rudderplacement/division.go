package rudderplacement

import (
	"slices"

	"comfreyrudder.example/rudderd/rudderroute"
)

const (
	// maxPackings bounds the packings of a domain that are compared.
	maxPackings = 64
	// missingGroup is the load of a model without a group, relative to one with a single group. It is above all
	// ratios that counts of groups can give.
	missingGroup = 1e6
	// sumWeight makes the sum of the models' loads decide between divisions with the same highest load.
	sumWeight = 1e-3
)

// packing is a number of groups by index of the model.
type packing []int

// division is the search for the numbers of groups of the models that fit into any domain.
type division struct {
	in     *Input
	models []rudderroute.Model
	counts packing
}

// divide sets, for each domain, the numbers of groups by model that it should form until the first request:
// domains are filled as far as one target stays free, with the mix of models over all domains whose groups are
// loaded most evenly. Loads cost little until then; later, form places one group at a time. A service with one
// model needs no division.
func (in *Input) divide(domains []*domain) {
	if in.Traffic || len(in.Service.Engine.Models) < 2 {
		return
	}
	planned := in.counts(domains)
	models := slices.DeleteFunc(slices.Clone(in.Service.Engine.Models), func(m rudderroute.Model) bool {
		return planned[m.Name] == 0 && !slices.ContainsFunc(domains, func(d *domain) bool { return d.room >= m.Size })
	})
	if len(models) == 0 {
		return
	}
	v := &division{in: in, models: models, counts: make(packing, len(models))}
	for i, m := range models {
		v.counts[i] = planned[m.Name]
	}
	options, chosen := make([][]packing, len(domains)), make([]packing, len(domains))
	for i, d := range domains {
		if !d.evacuated {
			options[i] = packings(models, d.room-reserve)
			if len(options[i]) == 0 && len(d.groups) == 0 {
				options[i] = packings(models, d.room)
			}
			chosen[i] = v.improve(nil, options[i], 1)
		}
	}
	v.exchange(chosen, options, 1)
	for i, d := range domains {
		if !d.evacuated {
			options[i] = packings(models, d.room)
		}
	}
	v.exchange(chosen, options, reserveWaiver)
	for i, d := range domains {
		if d.evacuated {
			continue
		}
		d.wanted = map[string]int{}
		for j, n := range chosen[i] {
			d.wanted[models[j].Name] = n
		}
	}
}

// exchange replaces packings as long as that divides the load of the models by more than factor.
func (v *division) exchange(chosen []packing, options [][]packing, factor float64) {
	for changed := true; changed; {
		changed = false
		for i := range chosen {
			if next := v.improve(chosen[i], options[i], factor); !slices.Equal(next, chosen[i]) {
				chosen[i], changed = next, true
			}
		}
	}
}

// improve returns the option by which the load of the models is the least, and old if none divides it by more than
// factor, or by more than 1 while a model has no group. The counts are changed to include it instead of old.
func (v *division) improve(old packing, options []packing, factor float64) packing {
	if slices.Min(v.counts) == 0 {
		factor = 1
	}
	best, least := old, v.load()/factor
	v.add(old, -1)
	for _, option := range options {
		v.add(option, 1)
		if load := v.load(); load < least {
			best, least = option, load
		}
		v.add(option, -1)
	}
	v.add(best, 1)
	return best
}

// add adds a multiple of a packing to the counts.
func (v *division) add(p packing, times int) {
	for i, n := range p {
		v.counts[i] += times * n
	}
}

// load returns the highest part of the work that a group has to do.
func (v *division) load() float64 {
	most, sum := 0.0, 0.0
	for i, m := range v.models {
		load := v.in.share(m) * missingGroup
		if v.counts[i] > 0 {
			load = v.in.share(m) / float64(v.counts[i])
		}
		most, sum = max(most, load), sum+load
	}
	return most + sumWeight*sum
}

// packings returns the numbers of groups with which no further group fits into a room, without the one that has no
// group.
func packings(models []rudderroute.Model, room int) []packing {
	var list []packing
	current := make(packing, len(models))
	var fill func(i, left int)
	fill = func(i, left int) {
		if len(list) >= maxPackings {
			return
		}
		if i == len(models) {
			full := !slices.ContainsFunc(models, func(m rudderroute.Model) bool { return m.Size >= 1 && m.Size <= left })
			if full && slices.Max(current) > 0 {
				list = append(list, slices.Clone(current))
			}
			return
		}
		for n := 0; n == 0 || models[i].Size >= 1 && n*models[i].Size <= left; n++ {
			current[i] = n
			fill(i+1, left-n*models[i].Size)
		}
		current[i] = 0
	}
	fill(0, room)
	return list
}

// lacking returns the model whose groups that a domain should form lack most targets with its weights, or "".
func (in *Input) lacking(d *domain, holders map[string]int) string {
	best, most := "", 0
	for _, m := range in.Service.Engine.Models {
		if lacks := d.wanted[m.Name]*m.Size - holders[m.Name]; lacks > most {
			best, most = m.Name, lacks
		}
	}
	return best
}
