package standin

import (
	"net/http"

	"martenwheel.dev/pkg/engine"
	"martenwheel.dev/pkg/telemetry"
)

func (e *Engine) serveChat(writer http.ResponseWriter, request *http.Request) {
	e.serveExchange(writer, request, true)
}

func (e *Engine) serveCompletion(writer http.ResponseWriter, request *http.Request) {
	e.serveExchange(writer, request, false)
}

func (e *Engine) serveModels(writer http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, held := range e.Inventory(engine.InventoryRequest{}).Items {
		if held.State == engine.ItemReady {
			list.Data = append(list.Data, model{ID: string(held.Model), Object: "model"})
		}
	}
	writeJSON(writer, list)
}

func (e *Engine) serveExchange(writer http.ResponseWriter, request *http.Request, chat bool) {
	x, err := e.parseExchange(request, chat)
	if err != nil {
		writeRefusal(writer, err)
		return
	}
	var g *generation
	if x.resumeFrom >= 0 {
		g, err = e.resume(x.id)
	} else {
		g, err = e.submit(x.submission)
	}
	if err != nil {
		writeRefusal(writer, err)
		return
	}
	x.attachment = e.progress(g).attachment
	// A request whose caller left frees its slot in the batch.
	defer e.abandon(g, x.attachment)
	if x.Stream {
		e.stream(writer, request, x, g)
	} else {
		e.answerWhole(writer, request, x, g)
	}
	e.logExchange(x, g)
}

// logExchange logs an exchange that ended.
func (e *Engine) logExchange(x exchange, g *generation) {
	end := e.progress(g)
	e.config.Logger.Info("request",
		telemetry.FieldRequestID, x.id,
		telemetry.FieldModel, x.submission.model,
		telemetry.FieldServer, e.config.ID,
		"tokens", end.tokens,
		"finished", end.phase == phaseFinished,
	)
}

// wait waits until the engine is not silent and the generation has more than seen
// tokens or has ended. It returns false if the caller left or resumed the request on
// another connection.
func (e *Engine) wait(request *http.Request, x exchange, g *generation, seen int) (progress, bool) {
	for {
		now := e.progress(g)
		if now.attachment != x.attachment {
			return now, false
		}
		if now.tokens > seen || now.phase >= phaseFinished {
			return now, e.faults.waitSound(request.Context(), PartRequests)
		}
		select {
		case <-now.changed:
		case <-request.Context().Done():
			return now, false
		}
	}
}

// writeEnd responds to a request that was refused or cancelled.
func writeEnd(writer http.ResponseWriter, end progress) {
	if end.phase == phaseRefused {
		writer.Header().Set(engine.HeaderNotRun, "true")
		writeError(writer, http.StatusServiceUnavailable, "refused", end.refusal)
		return
	}
	writeError(writer, http.StatusConflict, "cancelled", "the request was cancelled")
}
