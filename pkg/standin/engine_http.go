package standin

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"martenwheel.dev/pkg/engine"
)

// Paths of the API that only stand-in engines have.
const (
	PathExecuted = "/standin/v1/executed" // GET, answers counts by key
	PathLeave    = "/standin/v1/leave"    // POST
)

// maxBodyBytes bounds the bodies of requests to the stand-ins.
const maxBodyBytes = 64 * mebibyte

// Handler returns the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern, part string, handler http.HandlerFunc) {
		mux.Handle(pattern, e.faults.wrap(PartEngine, e.faults.wrap(part, handler)))
	}
	handle("POST "+engine.PathOrders, PartOrders, answer(func(order engine.Order) (engine.OrderResult, error) {
		return e.Order(order), nil
	}))
	handle("POST "+engine.PathInventory, PartOrders, answer(func(request engine.InventoryRequest) (engine.Inventory, error) {
		return e.Inventory(request), nil
	}))
	handle("GET "+engine.PathLoad, PartReports, func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, e.Load())
	})
	handle("GET "+engine.PathCacheEvents, PartReports, e.serveCacheEvents)
	handle("POST "+engine.PathCancel, PartRequests, answer(func(request engine.CancelRequest) (struct{}, error) {
		return struct{}{}, e.Cancel(request)
	}))
	handle("POST "+engine.PathKVExport, PartRequests, answer(e.ExportKV))
	handle("POST "+engine.PathKVImport, PartRequests, answer(func(export engine.KVExport) (struct{}, error) {
		return struct{}{}, e.ImportKV(export)
	}))
	handle("POST /v1/chat/completions", PartRequests, e.serveChat)
	handle("POST /v1/completions", PartRequests, e.serveCompletion)
	handle("GET /v1/models", PartRequests, e.serveModels)
	mux.HandleFunc("GET "+PathExecuted, func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, e.Executed())
	})
	mux.HandleFunc("POST "+PathLeave, func(writer http.ResponseWriter, _ *http.Request) {
		e.Leave()
		writeJSON(writer, struct{}{})
	})
	mux.HandleFunc(PathFaults, e.faults.serveAdmin)
	return http.MaxBytesHandler(mux, maxBodyBytes)
}

// answer returns a handler that decodes a JSON request, passes it to serve and
// encodes the result.
func answer[Request, Answer any](serve func(Request) (Answer, error)) http.HandlerFunc {
	return func(writer http.ResponseWriter, httpRequest *http.Request) {
		var request Request
		if err := readJSON(httpRequest.Body, &request); err != nil {
			writeError(writer, http.StatusBadRequest, "invalid_request", err.Error())
			return
		}
		result, err := serve(request)
		if err != nil {
			writeRefusal(writer, err)
			return
		}
		writeJSON(writer, result)
	}
}

func (e *Engine) serveCacheEvents(writer http.ResponseWriter, request *http.Request) {
	after, err := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(writer, http.StatusBadRequest, "invalid_request", "after: "+err.Error())
		return
	}
	writeJSON(writer, e.CacheEvents(after))
}

// errorBody is the body of an error response of the OpenAI-style API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func writeError(writer http.ResponseWriter, status int, code, message string) {
	kind := "invalid_request_error"
	if status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(errorBody{errorDetail{Message: message, Type: kind, Code: code}})
}

// writeRefusal responds to a request of which nothing was run.
func writeRefusal(writer http.ResponseWriter, err error) {
	writer.Header().Set(engine.HeaderNotRun, "true")
	switch {
	case errors.Is(err, ErrLeaving):
		writer.Header().Set(engine.HeaderLeaving, "true")
		writeError(writer, http.StatusServiceUnavailable, "leaving", err.Error())
	case errors.Is(err, ErrModelNotReady):
		writeError(writer, http.StatusNotFound, "model_not_ready", err.Error())
	case errors.Is(err, ErrUnknownRequest):
		writeError(writer, http.StatusNotFound, "request_not_found", err.Error())
	default:
		writeError(writer, http.StatusBadRequest, "invalid_request", err.Error())
	}
}
