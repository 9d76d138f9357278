package rudderfleetstand

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"

	"comfreyrudder.example/shared/rudderconfig"
)

// workspacesPerFirm is the number of workspaces of each firm; the first two have a higher weight.
const workspacesPerFirm = 10

// OperatorName is the admin operator of the layouts.
const OperatorName = "stand-admin"

// OperatorToken is the admin operator's token.
const OperatorToken = "stand-admin-token" //nolint:gosec // a test token of the simulated environment

// WorkspaceName returns the name of a firm's workspace, counted from 1.
func WorkspaceName(firm string, number int) string { return fmt.Sprintf("%s-%02d", firm, number) }

// WorkspaceKey returns the bearer key of a workspace of the layouts.
func WorkspaceKey(workspace string) string { return "stand-key-" + workspace }

func hashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// firmDocument returns the configuration of a firm's model, service, workspaces and objective.
func firmDocument(firm string) rudderconfig.Document {
	model, service, preset := ModelLedger, ServiceLedger, rudderconfig.PresetWaitingFirst
	var idempotent []rudderconfig.IdempotencyRule
	if firm == FirmVercheres {
		model, service, preset = ModelCues, ServiceBooking, rudderconfig.PresetCrestFirst
		idempotent = []rudderconfig.IdempotencyRule{{Method: http.MethodGet, Path: "/calendar/*"}}
	}
	d := rudderconfig.Document{
		Models: []rudderconfig.Model{{
			Name: model, Version: modelV1, WeightBytes: modelBytes, SlotsPerGroup: slotsPerGroup,
		}},
		Services: []rudderconfig.Service{{Name: service, Firm: firm, Idempotent: idempotent}},
		Objectives: []rudderconfig.Objective{{
			Firm: firm, Availability: 0.999, FirstTokenMS: 320, TokenGapMS: 63, LatencyShare: 0.95,
		}},
	}
	for i := 1; i <= workspacesPerFirm; i++ {
		name := WorkspaceName(firm, i)
		w := rudderconfig.Workspace{
			Name: name, Firm: firm, KeyHashes: []string{hashOf(WorkspaceKey(name))}, Weight: 1, Preset: preset,
		}
		if i <= 2 {
			w.Weight = 4
		}
		d.Workspaces = append(d.Workspaces, w)
	}
	return d
}

// document returns the layout's configuration with the hosts and the admin operator added.
func (f *Fleet) document() rudderconfig.Document {
	d := f.Layout.Document
	d.Version, d.ChangedBy, d.ChangedAt, d.Summary = 1, OperatorName, f.Clock.Now().UTC(), "first configuration"
	d.Hosts = nil
	for _, h := range f.Hosts {
		d.Hosts = append(d.Hosts, rudderconfig.HostSettings{
			Name: h.Name, Labels: h.labels, ChecksFencing: h.checksFencing,
		})
	}
	d.Operators = []rudderconfig.Operator{{
		Name: OperatorName, TokenHash: hashOf(OperatorToken), Role: rudderconfig.RoleAdmin,
	}}
	return d
}
