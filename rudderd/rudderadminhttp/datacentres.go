package rudderadminhttp

import (
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
)

func (a *API) dataCentres(c echo.Context) error {
	list, err := a.DataCentres(c.Request().Context())
	if err != nil {
		return unavailable(err.Error())
	}
	return c.JSON(http.StatusOK, struct {
		DataCentres []rudderadmin.DataCentre `json:"data_centres"`
	}{list})
}

func (a *API) evacuate(c echo.Context) error { return a.setEvacuated(c, "evacuate data centre ", true) }

func (a *API) restore(c echo.Context) error { return a.setEvacuated(c, "restore data centre ", false) }

// setEvacuated begins or ends an evacuation. The name must be that of a data centre with hosts, so that a misspelt one is not taken
// for done. While the list of hosts cannot be read, any name is accepted: operators may evacuate because of that outage.
func (a *API) setEvacuated(c echo.Context, summary string, evacuated bool) error {
	name := c.Param("name")
	hosts, err := a.Hosts(c.Request().Context())
	known := err != nil || slices.ContainsFunc(hosts, func(h rudderadmin.Host) bool { return h.DataCentre == name })
	return a.edit(c, summary+name, func(document *rudderconfig.Document) error {
		if !known && !document.Evacuated(name) {
			return notFound("no host is in a data centre " + name)
		}
		document.SetEvacuated(name, evacuated)
		return nil
	})
}
