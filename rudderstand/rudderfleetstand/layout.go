package rudderfleetstand

import (
	"fmt"

	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderhost"
)

// Domain is one fabric domain of engine hosts.
type Domain struct {
	Name         string
	Region       string
	DataCentre   string
	Firm         string
	Accelerator  string // kind of accelerator, the label "accelerator"
	Accelerators int    // for each host
	Hosts        int
	// SomeCheckFencing makes every second host check fencing numbers; otherwise none does.
	SomeCheckFencing bool
}

// ServiceHost is one host of a plain service. It is alone in its fabric domain.
type ServiceHost struct {
	Name       string
	Service    string
	Region     string
	DataCentre string
	Firm       string
}

// Layout describes an environment and its first configuration.
type Layout struct {
	Domains  []Domain
	Services []ServiceHost
	// Document lacks hosts and operators, which Fleet adds.
	Document rudderconfig.Document
}

// Names of the two firms and their regions.
const (
	FirmUmuvumu   = "umuvumu"
	FirmVercheres = "vercheres-lanoue"

	RegionKigali    = "kigali"
	RegionLaurentie = "laurentie"
)

// Labels that the layouts put on hosts.
const (
	LabelFirm        = "firm"
	LabelAccelerator = "accelerator"
	LabelService     = "service"
)

// Models of the layouts.
const (
	ModelLedger = "ledger-notes"
	ModelCues   = "cue-sheets"
	modelV1     = "1"
)

// Services of the layouts.
const (
	ServiceLedger  = "ledger"
	ServiceBooking = "booking"
)

const (
	modelBytes    = 100 << 20
	slotsPerGroup = 8
)

// Small returns a layout of one data centre with 2 fabric domains of 6 engine hosts, 1 plain service host and
// one firm. Its selector forms 4 groups of 2 hosts, which leaves 2 spares in each domain.
func Small() Layout {
	l := Layout{
		Services: []ServiceHost{{
			Name: "kigali-1-ledger", Service: ServiceLedger, Region: RegionKigali,
			DataCentre: "kigali-1", Firm: FirmUmuvumu,
		}},
	}
	for _, name := range []string{"kigali-1-a", "kigali-1-b"} {
		l.Domains = append(l.Domains, Domain{
			Name: name, Region: RegionKigali, DataCentre: "kigali-1", Firm: FirmUmuvumu,
			Accelerator: "small", Accelerators: 4, Hosts: 6, SomeCheckFencing: true,
		})
	}
	l.Document = firmDocument(FirmUmuvumu)
	l.Document.Selectors = []rudderconfig.Selector{
		modelSelector("umuvumu-notes", FirmUmuvumu, RegionKigali, ModelLedger, 2, 4, 100),
		serviceSelector(FirmUmuvumu, ServiceLedger),
	}
	return l
}

// TwoFirms returns a layout of today's size: two firms, each with 3 data centres, 65 engine hosts in 6 fabric
// domains and 3 hosts of a plain service. Each firm borrows hosts in the other's region during its own working
// hours.
func TwoFirms() Layout {
	var l Layout
	l.add(FirmUmuvumu, RegionKigali, ServiceLedger)
	l.add(FirmVercheres, RegionLaurentie, ServiceBooking)
	ledger, booking := firmDocument(FirmUmuvumu), firmDocument(FirmVercheres)
	l.Document = ledger
	l.Document.Models = append(l.Document.Models, booking.Models...)
	l.Document.Services = append(l.Document.Services, booking.Services...)
	l.Document.Workspaces = append(l.Document.Workspaces, booking.Workspaces...)
	l.Document.Objectives = append(l.Document.Objectives, booking.Objectives...)
	l.Document.Selectors = []rudderconfig.Selector{
		modelSelector("umuvumu-notes", FirmUmuvumu, RegionKigali, ModelLedger, 4, 8, 100),
		borrow(modelSelector("umuvumu-morning", FirmUmuvumu, RegionLaurentie, ModelLedger, 4, 4, 50),
			"07:00", "14:00", "Africa/Kigali"),
		serviceSelector(FirmUmuvumu, ServiceLedger),
		modelSelector("vercheres-cues", FirmVercheres, RegionLaurentie, ModelCues, 4, 8, 100),
		borrow(modelSelector("vercheres-evening", FirmVercheres, RegionKigali, ModelCues, 4, 4, 50),
			"13:00", "21:00", "America/Toronto"),
		serviceSelector(FirmVercheres, ServiceBooking),
	}
	return l
}

// add adds 3 data centres of a firm to the layout, with fabric domains of 11 hosts and one of 10.
func (l *Layout) add(firm, region, service string) {
	const hosts = 65
	left := hosts
	for centre := 1; centre <= 3; centre++ {
		dataCentre := fmt.Sprintf("%s-%d", region, centre)
		for _, suffix := range []string{"a", "b"} {
			count := min(11, left)
			left -= count
			kind := "small"
			if suffix == "b" {
				kind = "large"
			}
			l.Domains = append(l.Domains, Domain{
				Name: dataCentre + "-" + suffix, Region: region, DataCentre: dataCentre, Firm: firm,
				Accelerator: kind, Accelerators: 4, Hosts: count, SomeCheckFencing: true,
			})
		}
		l.Services = append(l.Services, ServiceHost{
			Name: dataCentre + "-" + service, Service: service, Region: region, DataCentre: dataCentre, Firm: firm,
		})
	}
}

func modelSelector(name, firm, region, model string, size, wanted, priority int) rudderconfig.Selector {
	return rudderconfig.Selector{
		Name: name, Firm: firm, MatchLabels: map[string]string{
			rudderconfig.LabelRegion: region, rudderconfig.LabelKind: string(rudderhost.KindEngine),
		},
		MatchExpressions: []rudderconfig.LabelRequirement{
			{Key: LabelAccelerator, Operator: rudderconfig.OperatorExists},
		},
		GroupSize: size, Model: model, ModelVersion: modelV1, WantedGroups: wanted, Priority: priority,
	}
}

func borrow(s rudderconfig.Selector, from, to, zone string) rudderconfig.Selector {
	s.Windows = []rudderconfig.Window{{
		Days: []string{"mon", "tue", "wed", "thu", "fri"}, From: from, To: to, TimeZone: zone,
	}}
	return s
}

func serviceSelector(firm, service string) rudderconfig.Selector {
	return rudderconfig.Selector{
		Name: firm + "-" + service, Firm: firm, MatchLabels: map[string]string{
			LabelService: service, rudderconfig.LabelKind: string(rudderhost.KindService),
		},
		GroupSize: 1, Service: service, Priority: 100,
	}
}
