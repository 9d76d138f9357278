package rudderadminhttp

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"comfreyrudder.example/rudderd/ruddermember"
	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
)

// forgetEntry removes an entry host that is no longer running from the registry. Entry hosts belong to no firm,
// so only an admin may do this.
func (a *API) forgetEntry(c echo.Context) error {
	if operatorOf(c).Role != rudderconfig.RoleAdmin {
		return forbidden("only an admin may forget an entry host")
	}
	name := c.Param("name")
	err := a.ForgetEntryHost(c.Request().Context(), name)
	a.Logger.Info().Str("operator", operatorOf(c).Name).Str("entry_host", name).Err(err).Msg("forget entry host")
	switch {
	case err == nil:
		return c.NoContent(http.StatusNoContent)
	case errors.Is(err, ruddermember.ErrUnknownMember):
		return notFound("no entry host " + name)
	case errors.Is(err, ruddermember.ErrLiveMember):
		return &rudderadmin.Error{
			Status: http.StatusConflict, Code: rudderadmin.CodeInvalid, Message: "entry host " + name + " is live",
			NextStep: "stop it; it then leaves by itself",
		}
	default:
		return unavailable(err.Error())
	}
}
