package gateway

import (
	"net/url"
	"strings"

	"github.com/gofiber/fiber/v2"

	"martenwheel.dev/pkg/api"
	"martenwheel.dev/pkg/traffic"
	"martenwheel.dev/pkg/tree"
)

// modelObject is the API representation of a model.
type modelObject struct {
	ID      api.ModelName `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	OwnedBy string        `json:"owned_by"`
	Parent  api.ModelName `json:"parent,omitempty"` // the base model of an adapter
}

// modelList is the API representation of a list of models.
type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

func toModelObject(model tree.Model) modelObject {
	return modelObject{ID: model.Name, Object: "model", OwnedBy: model.Service, Parent: model.Base}
}

// handleModels lists the models and adapters in the settings.
func (g *Gateway) handleModels(c *fiber.Ctx) error {
	catalog, apiError := g.readableCatalog(c)
	if apiError != nil {
		return apiError.send(c)
	}
	models := catalog.Models()
	list := modelList{Object: "list", Data: make([]modelObject, 0, len(models))}
	for _, model := range models {
		list.Data = append(list.Data, toModelObject(model))
	}
	return c.JSON(list)
}

// handleModel returns one model or adapter.
func (g *Gateway) handleModel(c *fiber.Ctx) error {
	catalog, apiError := g.readableCatalog(c)
	if apiError != nil {
		return apiError.send(c)
	}
	name, err := url.PathUnescape(strings.Clone(c.Params("name")))
	if err != nil {
		return invalidRequest(codeNotFound, "malformed model name").send(c)
	}
	model, known := catalog.Model(api.ModelName(name))
	if !known {
		return unknownModel(api.ModelName(name)).send(c)
	}
	return c.JSON(toModelObject(model))
}

// readableCatalog authenticates the caller and returns the current models.
func (g *Gateway) readableCatalog(c *fiber.Ctx) (Catalog, *APIError) {
	if _, apiError := g.authenticate(c); apiError != nil {
		return nil, apiError
	}
	return g.catalog()
}

// catalog returns the current models, or an error if the node has no settings yet.
func (g *Gateway) catalog() (Catalog, *APIError) {
	catalog := g.config.Catalog()
	if catalog == nil {
		return nil, &APIError{
			Status:     fiber.StatusServiceUnavailable,
			Message:    "this node has no settings yet",
			Type:       typeServer,
			Code:       string(traffic.ReasonUnavailable),
			NotRun:     true,
			RetryAfter: noSettingsRetry,
		}
	}
	return catalog, nil
}
