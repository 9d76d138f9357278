package rudderhttp

import (
	"crypto/rand"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"comfreyrudder.example/shared/rudderconfig"
)

const (
	contextRequestID = "request_id"
	contextWorkspace = "workspace"
)

// newRequestID returns an ID that contains the name of this entry host, so that any other one can find the answer.
func (a *API) newRequestID() string {
	return a.Name + "." + strings.ToLower(rand.Text())
}

// memberOf returns the name of the entry host in a request ID.
func memberOf(requestID string) (string, bool) {
	member, rest, found := strings.Cut(requestID, ".")
	return member, found && member != "" && rest != ""
}

func requestIDOf(c echo.Context) string {
	id, _ := c.Get(contextRequestID).(string)
	return id
}

func workspaceOf(c echo.Context) rudderconfig.Workspace {
	workspace, _ := c.Get(contextWorkspace).(rudderconfig.Workspace)
	return workspace
}

// authenticate looks up the workspace of the bearer key.
func (a *API) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		key, found := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if !found || key == "" {
			return refuseUnauthorized("send the workspace's key as \"Authorization: Bearer KEY\"")
		}
		document := a.Config()
		if document == nil {
			return refuseNotReady("this entry host has no configuration yet")
		}
		workspace, ok := findWorkspace(document, key)
		if !ok {
			return refuseUnauthorized("the key is not known")
		}
		c.Set(contextWorkspace, workspace)
		return next(c)
	}
}

// findWorkspace returns the workspace of a key. It compares the key's hash with every stored hash in constant time.
func findWorkspace(document *rudderconfig.Document, key string) (rudderconfig.Workspace, bool) {
	wanted := rudderconfig.HashSecret(key)
	found := -1
	for i, workspace := range document.Workspaces {
		for _, hash := range workspace.KeyHashes {
			if rudderconfig.SameHash(hash, wanted) {
				found = i
			}
		}
	}
	if found < 0 {
		return rudderconfig.Workspace{}, false
	}
	return document.Workspaces[found], true
}

// servedModels lists the models that a workspace may use according to the selectors, sorted by name.
func servedModels(document *rudderconfig.Document, workspace rudderconfig.Workspace) []string {
	var names []string
	for _, selector := range document.Selectors {
		serves := len(selector.Workspaces) == 0 || slices.Contains(selector.Workspaces, workspace.Name)
		if selector.Firm == workspace.Firm && selector.Model != "" && serves {
			names = append(names, selector.Model)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
