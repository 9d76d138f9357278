package rudderadminhttp

import (
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"comfreyrudder.example/rudderd/rudderbody"
	"comfreyrudder.example/shared/rudderadmin"
	"comfreyrudder.example/shared/rudderconfig"
	"comfreyrudder.example/shared/rudderstore"
)

// maxDocumentBytes is what fits into one value of the key-value service.
const maxDocumentBytes = rudderstore.MaxValueBytes

// hidden replaces hashes of keys and tokens in answers to operators who are not admins.
const hidden = "hidden"

func (a *API) current() (*rudderconfig.Document, error) {
	document := a.Current()
	if document == nil {
		return nil, unavailable("this entry host has no configuration yet")
	}
	return document, nil
}

func (a *API) getConfig(c echo.Context) error {
	document, err := a.current()
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, visible(operatorOf(c), document))
}

// visible hides the hashes from operators who cannot change them.
func visible(operator rudderconfig.Operator, document *rudderconfig.Document) *rudderconfig.Document {
	if operator.Role == rudderconfig.RoleAdmin {
		return document
	}
	shown := *document
	shown.Workspaces = append([]rudderconfig.Workspace{}, document.Workspaces...)
	for i := range shown.Workspaces {
		shown.Workspaces[i].KeyHashes = []string{hidden}
	}
	shown.Operators = append([]rudderconfig.Operator{}, document.Operators...)
	for i := range shown.Operators {
		shown.Operators[i].TokenHash = hidden
	}
	return &shown
}

// readBody reads a body that is not larger than the whole configuration may be.
func readBody(c echo.Context) ([]byte, error) {
	text, err := rudderbody.Read(c.Request().Body, maxDocumentBytes)
	if errors.Is(err, rudderbody.ErrTooLarge) {
		return nil, &rudderadmin.Error{
			Status: http.StatusRequestEntityTooLarge, Code: rudderadmin.CodeInvalid, NextStep: "send a smaller body",
			Message: "the body is above " + strconv.Itoa(maxDocumentBytes) + " bytes, the most that the key-value service holds",
		}
	}
	if err != nil {
		return nil, badRequest("the body could not be read: " + err.Error())
	}
	return text, nil
}

// readDocument reads the YAML or JSON document in the body.
func (a *API) readDocument(c echo.Context) (*rudderconfig.Document, error) {
	text, err := readBody(c)
	if err != nil {
		return nil, err
	}
	document, err := a.Parse(text)
	if err != nil {
		return nil, badRequest(err.Error())
	}
	return document, nil
}

func (a *API) putConfig(c echo.Context) error {
	wanted, err := a.readDocument(c)
	if err != nil {
		return err
	}
	return a.edit(c, "replace the configuration", func(document *rudderconfig.Document) error {
		keep := *document
		*document = *wanted
		document.Version, document.ChangedBy, document.ChangedAt = keep.Version, keep.ChangedBy, keep.ChangedAt
		return nil
	})
}

func (a *API) applyConfig(c echo.Context) error {
	partial, err := a.readDocument(c)
	if err != nil {
		return err
	}
	return a.edit(c, "apply a file", func(document *rudderconfig.Document) error {
		*document = *a.Merge(document, partial)
		return nil
	})
}

// rollbackConfig writes an earlier version as the next one. Operators and keys stay as they are now, so
// that a token or key that was removed since then does not work again.
func (a *API) rollbackConfig(c echo.Context) error {
	earlier, err := a.readVersion(c, c.QueryParam("version"))
	if err != nil {
		return err
	}
	summary := "go back to version " + strconv.FormatInt(earlier.Version, 10)
	return a.edit(c, summary, func(document *rudderconfig.Document) error {
		now := *document
		*document = *earlier
		document.Version, document.ChangedBy, document.ChangedAt = now.Version, now.ChangedBy, now.ChangedAt
		document.Operators = now.Operators
		for i := range document.Workspaces {
			w := &document.Workspaces[i]
			w.KeyHashes = []string{}
			if j := find(now.Workspaces, w.Name, workspaceName); j >= 0 {
				w.KeyHashes = now.Workspaces[j].KeyHashes
			}
		}
		return nil
	})
}

// summaryOf takes the operator's own summary of a change, if there is one.
func summaryOf(c echo.Context, fallback string) string {
	const longest = 200
	if text := c.QueryParam("summary"); text != "" && len(text) <= longest {
		return text
	}
	return fallback
}

// awaitConfig tells whether the current version is in force everywhere, for a change that was pending.
func (a *API) awaitConfig(c echo.Context) error {
	if _, err := a.current(); err != nil {
		return err
	}
	result, err := a.AwaitInForce(c.Request().Context())
	if err != nil && result.State == "" {
		return unavailable(err.Error())
	}
	answer := rudderadmin.ChangeResult{
		Version: result.Version, State: string(result.State), Missing: result.Missing, Slowest: result.Slowest,
		InForceMS: result.InForceAfter.Milliseconds(), Diff: []string{},
	}
	return c.JSON(statusOf(answer), answer)
}

func (a *API) history(c echo.Context) error {
	entries, err := a.History(c.Request().Context())
	if err != nil {
		return unavailable(err.Error())
	}
	return c.JSON(http.StatusOK, struct {
		Versions []rudderadmin.HistoryEntry `json:"versions"`
	}{entries})
}

func (a *API) version(c echo.Context) error {
	document, err := a.readVersion(c, c.Param("version"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, visible(operatorOf(c), document))
}

func (a *API) readVersion(c echo.Context, text string) (*rudderconfig.Document, error) {
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 1 {
		return nil, badRequest("the version is not a number above 0")
	}
	document, err := a.Version(c.Request().Context(), number)
	if errors.Is(err, rudderstore.ErrNotFound) {
		return nil, notFound("version " + text + " is not in the history")
	}
	if err != nil {
		return nil, unavailable(err.Error())
	}
	return document, nil
}

// diff compares two versions of the history.
func (a *API) diff(c echo.Context) error {
	from, err := a.readVersion(c, c.QueryParam("from"))
	if err != nil {
		return err
	}
	to, err := a.readVersion(c, c.QueryParam("to"))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, struct {
		Diff []string `json:"diff"`
	}{a.Diff(from, to)})
}
