package rudderadminhttp

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
)

// keyPrefix marks workspace keys, so that secret scanners recognise them.
const keyPrefix = "rudder-"

// indexByName returns the index of the item with the name, or -1.
func indexByName[T any](list []T, name string, nameOf func(T) string) int {
	return slices.IndexFunc(list, func(item T) bool { return nameOf(item) == name })
}

func selectorName(s rudderconfig.Selector) string   { return s.Name }
func workspaceName(w rudderconfig.Workspace) string { return w.Name }
func hostName(h rudderconfig.HostSettings) string   { return h.Name }

// upsert replaces the item of the same name, or appends the item.
func upsert[T any](list []T, item T, nameOf func(T) string) []T {
	if i := indexByName(list, nameOf(item), nameOf); i >= 0 {
		list[i] = item
		return list
	}
	return append(list, item)
}

// bind decodes the JSON request body.
func bind[T any](c echo.Context) (T, error) {
	var value T
	text, err := readBody(c)
	if err != nil {
		return value, err
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	// Otherwise a misspelt field would be ignored and the change accepted without effect.
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		return value, badRequest("the body is not the JSON that this path takes: " + err.Error())
	}
	if decoder.More() {
		return value, badRequest("the body has more than one JSON value")
	}
	return value, nil
}

// editHost changes the settings of a host. A host has an item in the document only once an operator has set
// something, so the item may have to be added.
func (a *API) editHost(c echo.Context, summary string, change func(host *rudderconfig.HostSettings)) error {
	name := c.Param("name")
	hosts, err := a.Hosts(c.Request().Context())
	if err != nil {
		return unavailable(err.Error())
	}
	if indexByName(hosts, name, func(h rudderadmin.Host) string { return h.Name }) < 0 {
		return notFound("no host " + name)
	}
	return a.edit(c, summary+" "+name, func(document *rudderconfig.Document) error {
		settings := rudderconfig.HostSettings{Name: name}
		if i := indexByName(document.Hosts, name, hostName); i >= 0 {
			settings = document.Hosts[i]
		}
		change(&settings)
		document.Hosts = upsert(document.Hosts, settings, hostName)
		return nil
	})
}

func (a *API) labelHost(c echo.Context) error {
	labels, err := bind[rudderadmin.LabelChange](c)
	if err != nil {
		return err
	}
	return a.editHost(c, "label host", func(host *rudderconfig.HostSettings) {
		if host.Labels == nil {
			host.Labels = make(map[string]string)
		}
		for key, value := range labels.Set {
			host.Labels[key] = value
		}
		for _, key := range labels.Remove {
			delete(host.Labels, key)
		}
	})
}

func (a *API) drainHost(c echo.Context) error {
	return a.editHost(c, "drain host", func(host *rudderconfig.HostSettings) { host.Drain = true })
}

func (a *API) undrainHost(c echo.Context) error {
	return a.editHost(c, "undrain host", func(host *rudderconfig.HostSettings) { host.Drain = false })
}

// declareFencing records that the host's engine refuses orders with an outdated fencing number.
func (a *API) declareFencing(c echo.Context) error {
	return a.editHost(c, "declare fencing checks of host", func(host *rudderconfig.HostSettings) { host.ChecksFencing = true })
}

func (a *API) withdrawFencing(c echo.Context) error {
	return a.editHost(c, "withdraw fencing checks of host", func(host *rudderconfig.HostSettings) { host.ChecksFencing = false })
}

func (a *API) selectors(c echo.Context) error {
	document, err := a.current()
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, struct {
		Selectors []rudderconfig.Selector `json:"selectors"`
	}{document.Selectors})
}

func (a *API) selector(c echo.Context) error {
	document, err := a.current()
	if err != nil {
		return err
	}
	i := indexByName(document.Selectors, c.Param("name"), selectorName)
	if i < 0 {
		return notFound("no selector " + c.Param("name"))
	}
	return c.JSON(http.StatusOK, document.Selectors[i])
}

func (a *API) putSelector(c echo.Context) error {
	selector, err := bind[rudderconfig.Selector](c)
	if err != nil {
		return err
	}
	if selector.Name != c.Param("name") {
		return badRequest("the selector's name differs from the path's")
	}
	return a.edit(c, "put selector "+selector.Name, func(document *rudderconfig.Document) error {
		document.Selectors = upsert(document.Selectors, selector, selectorName)
		return nil
	})
}

func (a *API) deleteSelector(c echo.Context) error {
	name := c.Param("name")
	return a.edit(c, "delete selector "+name, func(document *rudderconfig.Document) error {
		i := indexByName(document.Selectors, name, selectorName)
		if i < 0 {
			return notFound("no selector " + name)
		}
		document.Selectors = slices.Delete(document.Selectors, i, i+1)
		return nil
	})
}

func (a *API) workspaces(c echo.Context) error {
	document, err := a.current()
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, struct {
		Workspaces []rudderconfig.Workspace `json:"workspaces"`
	}{redacted(operatorOf(c), document).Workspaces})
}

func (a *API) putWorkspace(c echo.Context) error {
	workspace, err := bind[rudderconfig.Workspace](c)
	if err != nil {
		return err
	}
	if workspace.Name != c.Param("name") {
		return badRequest("the workspace's name differs from the path's")
	}
	return a.edit(c, "put workspace "+workspace.Name, func(document *rudderconfig.Document) error {
		if i := indexByName(document.Workspaces, workspace.Name, workspaceName); i >= 0 && lacksKeyHashes(workspace) {
			workspace.KeyHashes = document.Workspaces[i].KeyHashes
		}
		document.Workspaces = upsert(document.Workspaces, workspace, workspaceName)
		return nil
	})
}

// lacksKeyHashes reports whether a workspace has no key hashes, or only the placeholder of a redacted response.
// Such a workspace keeps its stored hashes.
func lacksKeyHashes(w rudderconfig.Workspace) bool {
	return len(w.KeyHashes) == 0 || slices.Equal(w.KeyHashes, []string{hiddenHash})
}

func (a *API) deleteWorkspace(c echo.Context) error {
	name := c.Param("name")
	return a.edit(c, "delete workspace "+name, func(document *rudderconfig.Document) error {
		i := indexByName(document.Workspaces, name, workspaceName)
		if i < 0 {
			return notFound("no workspace " + name)
		}
		document.Workspaces = slices.Delete(document.Workspaces, i, i+1)
		return nil
	})
}

// addKey generates a key for a workspace. Only the hash of the key is stored.
func (a *API) addKey(c echo.Context) error {
	name, key := c.Param("name"), keyPrefix+strings.ToLower(rand.Text())
	result, err := a.editDocument(c, "add a key to workspace "+name, func(document *rudderconfig.Document) error {
		i := indexByName(document.Workspaces, name, workspaceName)
		if i < 0 {
			return notFound("no workspace " + name)
		}
		document.Workspaces[i].KeyHashes = append(document.Workspaces[i].KeyHashes, rudderconfig.HashSecret(key))
		return nil
	})
	if err != nil {
		return err
	}
	return c.JSON(statusOf(result), rudderadmin.NewKey{Key: key, Change: result})
}

func (a *API) removeKey(c echo.Context) error {
	name, hash := c.Param("name"), c.Param("hash")
	return a.edit(c, "remove a key of workspace "+name, func(document *rudderconfig.Document) error {
		i := indexByName(document.Workspaces, name, workspaceName)
		if i < 0 || !slices.Contains(document.Workspaces[i].KeyHashes, hash) {
			return notFound("no such key in workspace " + name)
		}
		document.Workspaces[i].KeyHashes = slices.DeleteFunc(document.Workspaces[i].KeyHashes, func(h string) bool { return h == hash })
		return nil
	})
}
