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

// maxDocumentBytes is the size limit of a value in the key-value service, which stores a document as one value.
const maxDocumentBytes = rudderstore.MaxValueBytes

// hiddenHash replaces the hashes of keys and tokens in responses to operators who are not admins.
const hiddenHash = "hidden"

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
	return c.JSON(http.StatusOK, redacted(operatorOf(c), document))
}

// redacted returns the document with the hashes of keys and tokens replaced, unless the operator is an admin.
func redacted(operator rudderconfig.Operator, document *rudderconfig.Document) *rudderconfig.Document {
	if operator.Role == rudderconfig.RoleAdmin {
		return document
	}
	shown := *document
	shown.Workspaces = append([]rudderconfig.Workspace{}, document.Workspaces...)
	for i := range shown.Workspaces {
		shown.Workspaces[i].KeyHashes = []string{hiddenHash}
	}
	shown.Operators = append([]rudderconfig.Operator{}, document.Operators...)
	for i := range shown.Operators {
		shown.Operators[i].TokenHash = hiddenHash
	}
	return &shown
}

// readBody reads the request body, of at most maxDocumentBytes.
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

// readDocument decodes the YAML or JSON document in the request body.
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
		current := *document
		*document = *wanted
		document.Version, document.ChangedBy, document.ChangedAt = current.Version, current.ChangedBy, current.ChangedAt
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

// rollbackConfig writes an earlier version as the next one. Operators and keys keep their current state, so that
// a token or key that has been removed since that version does not become valid again. Evacuations keep theirs, so that
// going back from a faulty change neither ends nor begins one.
func (a *API) rollbackConfig(c echo.Context) error {
	earlier, err := a.readVersion(c, c.QueryParam("version"))
	if err != nil {
		return err
	}
	summary := "go back to version " + strconv.FormatInt(earlier.Version, 10)
	return a.edit(c, summary, func(document *rudderconfig.Document) error {
		current := *document
		*document = *earlier
		document.Version, document.ChangedBy, document.ChangedAt = current.Version, current.ChangedBy, current.ChangedAt
		document.Operators, document.EvacuatedDataCentres = current.Operators, current.EvacuatedDataCentres
		for i := range document.Workspaces {
			w := &document.Workspaces[i]
			w.KeyHashes = []string{}
			if j := indexByName(current.Workspaces, w.Name, workspaceName); j >= 0 {
				w.KeyHashes = current.Workspaces[j].KeyHashes
			}
		}
		return nil
	})
}

// summaryOf returns the operator's summary of a change, or the fallback when it is missing or too long.
func summaryOf(c echo.Context, fallback string) string {
	const maxSummaryBytes = 200
	if text := c.QueryParam("summary"); text != "" && len(text) <= maxSummaryBytes {
		return text
	}
	return fallback
}

// awaitConfig waits until the current version is in force on all entry hosts and reports whether it is.
// Operators call it after a change that was pending.
func (a *API) awaitConfig(c echo.Context) error {
	if _, err := a.current(); err != nil {
		return err
	}
	result, err := a.AwaitInForce(c.Request().Context())
	if err != nil && result.State == "" {
		return unavailable(err.Error())
	}
	response := rudderadmin.ChangeResult{
		Version: result.Version, State: string(result.State), Missing: result.Missing, Slowest: result.Slowest,
		InForceMS: result.InForceAfter.Milliseconds(), Diff: []string{},
	}
	return c.JSON(statusOf(response), response)
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
	return c.JSON(http.StatusOK, redacted(operatorOf(c), document))
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
