package api

import (
	"encoding/json"
)

type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

type modelObject struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Root    string `json:"root,omitempty"`
}

func (a *API) serveModels(c *call) {
	if !a.authorize(c) {
		return
	}
	list := modelList{Object: "list", Data: []modelObject{}}
	for _, m := range a.backend.Models() {
		list.Data = append(list.Data, modelObject{
			ID: m.ID, Object: "model", OwnedBy: "egretreach", Version: m.Version, Adapter: m.Adapter, Root: m.Model,
		})
	}
	c.w.Header().Set("Content-Type", "application/json")
	c.w.Header().Set(HeaderOutcome, "complete")
	_ = json.NewEncoder(c.w).Encode(list)
}
