package standin

import (
	"slices"
)

// Order tells an engine to load or unload a model or adapter.
type Order struct {
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Fencing uint64 `json:"fencing"`
}

// Loaded lists what an engine has loaded, and the highest fencing number it has accepted.
type Loaded struct {
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Fencing  uint64   `json:"fencing"`
}

type loadState struct {
	loaded        Loaded
	ignoreFencing bool
}

func newLoadState(models []string, ignoreFencing bool) loadState {
	return loadState{
		loaded:        Loaded{Models: slices.Clone(models), Adapters: []string{}},
		ignoreFencing: ignoreFencing,
	}
}

// apply carries out an order. It returns false if the order's fencing number is outdated.
func (b *loadState) apply(order Order) bool {
	if order.Fencing < b.loaded.Fencing && !b.ignoreFencing {
		return false
	}
	b.loaded.Fencing = order.Fencing
	list, name := &b.loaded.Models, order.Model
	if order.Adapter != "" {
		list, name = &b.loaded.Adapters, order.Adapter
	}
	*list = slices.DeleteFunc(*list, func(other string) bool { return other == name })
	if order.Kind == "load" {
		*list = append(*list, name)
	}
	return true
}
