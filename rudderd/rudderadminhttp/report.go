package rudderadminhttp

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"comfreyrudder.example/shared/rudderadmin"
)

func (a *API) hosts(c echo.Context) error {
	hosts, err := a.Hosts(c.Request().Context())
	if err != nil {
		return unavailable(err.Error())
	}
	return c.JSON(http.StatusOK, struct {
		Hosts []rudderadmin.Host `json:"hosts"`
	}{hosts})
}

func (a *API) groups(c echo.Context) error {
	return c.JSON(http.StatusOK, struct {
		Groups []rudderadmin.Group `json:"groups"`
	}{a.Groups()})
}

func (a *API) status(c echo.Context) error {
	status, err := a.Status(c.Request().Context())
	if err != nil {
		return unavailable(err.Error())
	}
	return c.JSON(http.StatusOK, status)
}

func (a *API) explain(c echo.Context) error {
	explanation, found, err := a.Explain(c.Request().Context(), c.Param("name"))
	if err != nil {
		return unavailable(err.Error())
	}
	if !found {
		return notFound("no selector " + c.Param("name"))
	}
	return c.JSON(http.StatusOK, explanation)
}

func (a *API) whyNot(c echo.Context) error {
	reasons, err := a.WhyNot(c.Request().Context(), c.Param("host"))
	if err != nil {
		return unavailable(err.Error())
	}
	return c.JSON(http.StatusOK, struct {
		Host    string               `json:"host"`
		Reasons []rudderadmin.Reason `json:"reasons"`
	}{c.Param("host"), reasons})
}

func (a *API) burn(c echo.Context) error {
	report, err := a.BurnReport(c.Request().Context())
	if err != nil {
		return unavailable(err.Error())
	}
	return c.JSON(http.StatusOK, report)
}
