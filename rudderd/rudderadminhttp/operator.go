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

// bootstrapOperator is the author of the first configuration.
const bootstrapOperator = "bootstrap"

func operatorOf(c echo.Context) rudderconfig.Operator {
	operator, _ := c.Get(contextOperator).(rudderconfig.Operator)
	return operator
}

// Authenticate finds the operator of the bearer token.
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

// findOperator compares the token's hash with every stored one in constant time.
func (a *API) findOperator(token string) (rudderconfig.Operator, bool) {
	hash := rudderconfig.HashSecret(token)
	same := func(stored string) bool {
		return rudderconfig.SameHash(stored, hash)
	}
	var operators []rudderconfig.Operator
	if document := a.Current(); document != nil {
		operators = document.Operators
	}
	if len(operators) == 0 && a.BootstrapTokenHash != "" && same(a.BootstrapTokenHash) {
		return rudderconfig.Operator{Name: bootstrapOperator, Role: rudderconfig.RoleAdmin}, true
	}
	found := -1
	for i, o := range operators {
		if same(o.TokenHash) {
			found = i
		}
	}
	if found < 0 {
		return rudderconfig.Operator{}, false
	}
	return operators[found], true
}

// mayChange refuses viewers.
func mayChange(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if role := operatorOf(c).Role; role != rudderconfig.RoleAdmin && role != rudderconfig.RoleEditor {
			return forbidden("the operator may only read")
		}
		return next(c)
	}
}

// checkScope refuses an editor's change that touches anything but the selectors, workspaces and
// services of the editor's firms, or the labels and drains of hosts.
func checkScope(operator rudderconfig.Operator, before, after *rudderconfig.Document) error {
	if operator.Role == rudderconfig.RoleAdmin {
		return nil
	}
	if !same(before.Models, after.Models) || !same(before.Operators, after.Operators) {
		return forbidden("only an admin may change models and operators")
	}
	if !same(fencing(before), fencing(after)) {
		return forbidden("only an admin may change which hosts check fencing numbers")
	}
	other := func(firm string) bool { return !slices.Contains(operator.Firms, firm) }
	if !same(foreign(before, other), foreign(after, other)) {
		return forbidden("the change touches another firm; the operator may change " + strings.Join(operator.Firms, ", "))
	}
	return nil
}

// foreignParts are what belongs to firms that an editor may not change.
type foreignParts struct {
	Selectors  []rudderconfig.Selector
	Services   []rudderconfig.Service
	Workspaces []rudderconfig.Workspace
	Objectives []rudderconfig.Objective
}

func foreign(document *rudderconfig.Document, other func(firm string) bool) foreignParts {
	var parts foreignParts
	for _, s := range document.Selectors {
		if other(s.Firm) {
			parts.Selectors = append(parts.Selectors, s)
		}
	}
	for _, s := range document.Services {
		if other(s.Firm) {
			parts.Services = append(parts.Services, s)
		}
	}
	for _, w := range document.Workspaces {
		if other(w.Firm) {
			parts.Workspaces = append(parts.Workspaces, w)
		}
	}
	for _, o := range document.Objectives {
		if other(o.Firm) {
			parts.Objectives = append(parts.Objectives, o)
		}
	}
	return parts
}

func fencing(document *rudderconfig.Document) map[string]bool {
	hosts := make(map[string]bool)
	for _, h := range document.Hosts {
		if h.ChecksFencing {
			hosts[h.Name] = true
		}
	}
	return hosts
}

// same compares by the stored form, in which empty and missing lists are one.
func same(a, b any) bool {
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
