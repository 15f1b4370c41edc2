package lavfront

import (
	"encoding/json"
	"net/http"

	"lavenderrack.example/lavenderrack/lavrequest"
)

// modelBody is a model or an adapter in the OpenAI format. For an adapter, Parent is
// the name of its base model.
type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	Parent  string `json:"parent,omitempty"`
}

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

// handleModels lists the models and adapters of the release in force.
func (f *Front) handleModels(w http.ResponseWriter, r *http.Request) {
	if _, err := f.authenticate(r); err != nil {
		failureOf(err, lavrequest.OutcomeNotRun).write(w)
		return
	}
	writeJSON(w, modelList{Object: "list", Data: f.listModels()})
}

// handleModel describes one model or adapter.
func (f *Front) handleModel(w http.ResponseWriter, r *http.Request) {
	if _, err := f.authenticate(r); err != nil {
		failureOf(err, lavrequest.OutcomeNotRun).write(w)
		return
	}
	for _, m := range f.listModels() {
		if m.ID == r.PathValue("Name") {
			writeJSON(w, m)
			return
		}
	}
	unknownModel(r.PathValue("Name")).write(w)
}

func (f *Front) listModels() []modelBody {
	state := f.config.Releases.State()
	list := []modelBody{}
	for _, m := range state.Models {
		list = append(list, modelBody{ID: m.Name, Object: "model", OwnedBy: "lavenderrack"})
	}
	for _, a := range state.Adapters {
		list = append(list, modelBody{ID: a.Name, Object: "model", OwnedBy: "lavenderrack", Parent: a.Model})
	}
	return list
}

// resolveModel returns the names of the model and the adapter for a request. The
// model field of a request may also name an adapter, for client libraries that
// have no adapter field.
func (f *Front) resolveModel(name, adapter string) (string, string, error) {
	state := f.config.Releases.State()
	for _, m := range state.Models {
		if m.Name == name {
			return name, adapter, nil
		}
	}
	for _, a := range state.Adapters {
		if a.Name == name && adapter == "" {
			return a.Model, name, nil
		}
	}
	return "", "", unknownModel(name)
}

func unknownModel(name string) *failure {
	f := notFound("the model " + name + " does not exist")
	f.param, f.code = "model", "model_not_found"
	return f
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
