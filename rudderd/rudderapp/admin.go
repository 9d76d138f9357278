package rudderapp

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// adminHandler serves operators.
func (a *App) adminHandler() http.Handler {
	server := echo.New()
	server.HideBanner, server.HidePort = true, true
	server.GET("/healthz", func(c echo.Context) error {
		return c.JSON(http.StatusOK, struct {
			ConfigVersion int64 `json:"config_version"`
			Permit        bool  `json:"permit"`
		}{a.keeper.Version().Number, a.keeper.Permit(a.Clock.Now()) == nil})
	})
	return server
}
