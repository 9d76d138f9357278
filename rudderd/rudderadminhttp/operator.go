package rudderadminhttp

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
)

const contextOperator = "operator"

// bootstrapOperator is the name of the operator who uses the bootstrap token to write the first configuration.
const bootstrapOperator = "bootstrap"

func operatorOf(c echo.Context) rudderconfig.Operator {
	operator, _ := c.Get(contextOperator).(rudderconfig.Operator)
	return operator
}

// Authenticate is middleware that sets the operator of the bearer token and refuses requests without one.
func (a *API) Authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, found := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if !found || token == "" {
			return unauthorized("send the operator's token as \"Authorization: Bearer TOKEN\"")
		}
		operator, ok := a.findOperator(token)
		if !ok {
			a.Logger.Warn().Str("remote", c.RealIP()).Str("path", c.Path()).Msg("operator token refused")
			return unauthorized("the token is not known")
		}
		c.Set(contextOperator, operator)
		return next(c)
	}
}

// findOperator returns the operator of a token. It compares the token's hash with every stored hash in constant
// time.
func (a *API) findOperator(token string) (rudderconfig.Operator, bool) {
	hash := rudderconfig.HashSecret(token)
	matches := func(stored string) bool {
		return rudderconfig.SameHash(stored, hash)
	}
	var operators []rudderconfig.Operator
	if document := a.Current(); document != nil {
		operators = document.Operators
	}
	if len(operators) == 0 && a.BootstrapTokenHash != "" && matches(a.BootstrapTokenHash) {
		return rudderconfig.Operator{Name: bootstrapOperator, Role: rudderconfig.RoleAdmin}, true
	}
	found := -1
	for i, o := range operators {
		if matches(o.TokenHash) {
			found = i
		}
	}
	if found < 0 {
		return rudderconfig.Operator{}, false
	}
	return operators[found], true
}

// requireWriteAccess is middleware that refuses operators who are neither admin nor editor.
func requireWriteAccess(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if role := operatorOf(c).Role; role != rudderconfig.RoleAdmin && role != rudderconfig.RoleEditor {
			return forbidden("the operator may only read")
		}
		return next(c)
	}
}

// checkScope refuses an editor's change to anything other than the selectors, services, workspaces and
// objectives of the editor's firms, or the labels and drain flags of hosts.
func checkScope(operator rudderconfig.Operator, before, after *rudderconfig.Document) error {
	if operator.Role == rudderconfig.RoleAdmin {
		return nil
	}
	if !equalJSON(before.Models, after.Models) || !equalJSON(before.Operators, after.Operators) {
		return forbidden("only an admin may change models and operators")
	}
	if !slices.Equal(before.EvacuatedDataCentres, after.EvacuatedDataCentres) {
		return forbidden("only an admin may evacuate and restore data centres")
	}
	if !equalJSON(fencingHosts(before), fencingHosts(after)) {
		return forbidden("only an admin may change which hosts check fencing numbers")
	}
	isForeign := func(firm string) bool { return !slices.Contains(operator.Firms, firm) }
	if !equalJSON(foreignPartsOf(before, isForeign), foreignPartsOf(after, isForeign)) {
		return forbidden("the change touches another firm; the operator may change " + strings.Join(operator.Firms, ", "))
	}
	return nil
}

// foreignParts holds the parts of a document that belong to firms which an editor may not change.
type foreignParts struct {
	Selectors  []rudderconfig.Selector
	Services   []rudderconfig.Service
	Workspaces []rudderconfig.Workspace
	Objectives []rudderconfig.Objective
}

func foreignPartsOf(document *rudderconfig.Document, isForeign func(firm string) bool) foreignParts {
	var parts foreignParts
	for _, s := range document.Selectors {
		if isForeign(s.Firm) {
			parts.Selectors = append(parts.Selectors, s)
		}
	}
	for _, s := range document.Services {
		if isForeign(s.Firm) {
			parts.Services = append(parts.Services, s)
		}
	}
	for _, w := range document.Workspaces {
		if isForeign(w.Firm) {
			parts.Workspaces = append(parts.Workspaces, w)
		}
	}
	for _, o := range document.Objectives {
		if isForeign(o.Firm) {
			parts.Objectives = append(parts.Objectives, o)
		}
	}
	return parts
}

// fencingHosts returns the names of the hosts that are declared to check fencing numbers.
func fencingHosts(document *rudderconfig.Document) map[string]bool {
	hosts := make(map[string]bool)
	for _, h := range document.Hosts {
		if h.ChecksFencing {
			hosts[h.Name] = true
		}
	}
	return hosts
}

// equalJSON compares two values by their JSON encoding, the form in which documents are stored. In that form,
// an empty list of a document and a missing one are the same.
func equalJSON(a, b any) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

func unauthorized(message string) error {
	return &rudderadmin.Error{Status: http.StatusUnauthorized, Code: rudderadmin.CodeUnauthorized, Message: message, NextStep: "check the token"}
}

func forbidden(message string) error {
	return &rudderadmin.Error{Status: http.StatusForbidden, Code: rudderadmin.CodeForbidden, Message: message, NextStep: "ask an admin"}
}
