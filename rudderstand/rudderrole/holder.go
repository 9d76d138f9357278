// Package rudderrole holds code that simulated targets share: the role that orders change, with or without
// fencing checks, and the HTTP handler of orders.
package rudderrole

import (
	"encoding/json"
	"net/http"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"

	"comfreyrudder.example/shared/ruddertarget"
)

// maxOrderBytes bounds the body of an order.
const maxOrderBytes = 1 << 20

// Holder holds a target's role. It is not safe for concurrent use.
type Holder struct {
	// ChecksFencing makes the target refuse orders with an old fencing number, an unexpected group or a
	// not-after time that has passed. Without it the target applies every order.
	ChecksFencing bool

	role    ruddertarget.Role
	highest int64
}

// Role returns the current role.
func (h *Holder) Role() ruddertarget.Role { return h.role }

// Highest returns the highest fencing number of the accepted orders.
func (h *Holder) Highest() int64 { return h.highest }

// Reset clears the role and the fencing number, as a restart of the process does.
func (h *Holder) Reset() { h.role, h.highest = ruddertarget.Role{}, 0 }

// Apply applies an order and reports whether it changed the role. With ChecksFencing it refuses a stale or
// mismatched order with ErrStaleFencing or ErrRefused and keeps its state. An order for the current role is
// accepted whatever group it expects, so that it can be repeated. A preload does not depend on the expected
// group.
func (h *Holder) Apply(order ruddertarget.Order, now time.Time) (changed bool, err error) {
	wanted := h.role
	switch order.Kind {
	case ruddertarget.OrderAssign:
		wanted = order.Role
	case ruddertarget.OrderRelease:
		wanted = ruddertarget.Role{}
	case ruddertarget.OrderPreload:
	default:
		return false, errors.Wrapf(ruddertarget.ErrRefused, "unknown kind %q", order.Kind)
	}
	same := reflect.DeepEqual(wanted, h.role)
	if err := h.check(order, now, same); err != nil {
		return false, err
	}
	h.highest = max(h.highest, order.Fencing)
	h.role = wanted
	return !same, nil
}

func (h *Holder) check(order ruddertarget.Order, now time.Time, same bool) error {
	if !h.ChecksFencing {
		return nil
	}
	if order.Fencing < h.highest {
		return errors.Wrapf(ruddertarget.ErrStaleFencing, "%d is below %d", order.Fencing, h.highest)
	}
	if !order.NotAfter.IsZero() && now.After(order.NotAfter) {
		return errors.Wrapf(ruddertarget.ErrRefused, "not-after time has passed")
	}
	if !same && order.ExpectGroup != h.role.Group {
		return errors.Wrapf(ruddertarget.ErrRefused, "in group %q", h.role.Group)
	}
	return nil
}

// ServeOrders returns the handler of POST /control/orders. The function apply executes the order, and status
// returns the status of the target after it.
func ServeOrders(apply func(ruddertarget.Order) error, status func() ruddertarget.Status) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var order ruddertarget.Order
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&order); err != nil {
			WriteJSON(w, http.StatusBadRequest, ruddertarget.ErrorBody{Code: ruddertarget.CodeRefused, Message: err.Error()})
			return
		}
		err := apply(order)
		after := status()
		refusal := ruddertarget.ErrorBody{Status: &after}
		switch {
		case err == nil:
			WriteJSON(w, http.StatusOK, after)
			return
		case errors.Is(err, ruddertarget.ErrStaleFencing):
			refusal.Code = ruddertarget.CodeStaleFencing
		default:
			refusal.Code = ruddertarget.CodeRefused
		}
		refusal.Message = err.Error()
		WriteJSON(w, http.StatusConflict, refusal)
	}
}

// WriteJSON writes a response with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// WriteNotRun writes a refusal of work that was not started, in the OpenAI error format.
func WriteNotRun(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set(ruddertarget.HeaderNotRun, "true")
	WriteJSON(w, status, map[string]any{
		"error": map[string]string{"code": code, "type": "not_run", "message": message},
	})
}
