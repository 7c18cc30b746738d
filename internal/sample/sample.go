// Package sample generates object sets of the size and settings of the first two
// deployments, for dev mode, tests and benchmarks.
package sample

import (
	"fmt"
	"strings"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Shape describes a deployment: its hosts, number of objects and main settings.
type Shape struct {
	Name           string
	FailureDomains []string
	EnginePool     string
	Engines        int
	ServicePool    string
	ServiceHosts   int
	Models         int
	Adapters       int
	// LoadsPerSecond limits the loads from the weight store.
	LoadsPerSecond  float64
	ColdStartWeight float64
	IdleWeight      float64
	// ModelNames names the first models, which people chat with; the others are
	// numbered.
	ModelNames []string
	// RepeatableCalls are path prefixes of the plain service whose GET calls are
	// idempotent.
	RepeatableCalls []string
}

// OffcutGiveaway returns the shape of the Offcut Giveaway Division's deployment,
// which gives idle accelerators a higher weight than cold starts.
func OffcutGiveaway() Shape {
	return Shape{
		Name:            "offcut-giveaway",
		FailureDomains:  []string{"bayanzurkh", "songino", "khan-uul", "chingeltei"},
		EnginePool:      "lm-pool",
		Engines:         12,
		ServicePool:     "giveaway-app",
		ServiceHosts:    4,
		Models:          45,
		Adapters:        65,
		LoadsPerSecond:  2,
		ColdStartWeight: 1,
		IdleWeight:      3,
		ModelNames:      []string{"manifest-reader", "pickup-summary", "family-chat"},
		RepeatableCalls: []string{"/lists"},
	}
}

// StrazcaSal returns the shape of Strážca Sál's deployment, which gives the tail
// latency of cold starts a higher weight than idle accelerators.
func StrazcaSal() Shape {
	return Shape{
		Name:            "strazca-sal",
		FailureDomains:  []string{"bratislava-a", "bratislava-b", "bratislava-c"},
		EnginePool:      "rota-assistant",
		Engines:         18,
		ServicePool:     "shift-app",
		ServiceHosts:    3,
		Models:          35,
		Adapters:        115,
		LoadsPerSecond:  4,
		ColdStartWeight: 3,
		IdleWeight:      1,
		ModelNames:      []string{"rota-draft", "swap-answers", "season-handbook"},
		RepeatableCalls: []string{"/availability"},
	}
}

// Shapes returns the shapes of all sample deployments.
func Shapes() []Shape { return []Shape{OffcutGiveaway(), StrazcaSal()} }

// ByName returns the shape of the named deployment.
func ByName(name string) (Shape, error) {
	var names []string
	for _, s := range Shapes() {
		if s.Name == name {
			return s, nil
		}
		names = append(names, s.Name)
	}
	return Shape{}, fmt.Errorf("no deployment %q: choose one of %s", name, strings.Join(names, ", "))
}

const (
	parallelLoads        = 4
	parallelAdapterLoads = 30

	modelMemoryMiB   = 6 << 10
	modelMemorySteps = 4 // model sizes: 1 to 4 times modelMemoryMiB
	adapterMemoryMiB = 128

	// EngineMemoryMiB is the accelerator memory of a sample engine.
	EngineMemoryMiB = 48 << 10

	urgentClass  = "urgent"
	normalClass  = "normal"
	routineClass = "routine"
)

// Set returns a new object set with this shape.
func (s Shape) Set() *apiv1.ObjectSet {
	set := &apiv1.ObjectSet{
		Deployment: &apiv1.Deployment{
			Name:                      s.Name,
			ColdStartWeight:           s.ColdStartWeight,
			IdleWeight:                s.IdleWeight,
			WeightStoreLoadsPerSecond: s.LoadsPerSecond,
			WeightStoreParallelLoads:  parallelLoads,
			AdapterParallelLoads:      parallelAdapterLoads,
		},
		PriorityClasses: priorityClasses(),
		Placements:      s.placements(),
		Services:        []*apiv1.Service{s.service()},
	}
	for i := range s.Models {
		model, version := s.model(i)
		set.Models = append(set.Models, model)
		set.Versions = append(set.Versions, version)
	}
	for i := range s.Adapters {
		set.Adapters = append(set.Adapters, s.adapter(i))
	}
	return set
}

func priorityClasses() []*apiv1.PriorityClass {
	return []*apiv1.PriorityClass{
		{Name: urgentClass, Priority: 30, DefaultDeadlineMs: 30_000, AgeingMs: 2_000},
		{Name: normalClass, Priority: 20, DefaultDeadlineMs: 60_000, AgeingMs: 2_000},
		{Name: routineClass, Priority: 10, DefaultDeadlineMs: 120_000, AgeingMs: 2_000},
	}
}

const (
	singlePlacement = "single"
	spreadPlacement = "spread"
)

func (s Shape) placements() []*apiv1.Placement {
	return []*apiv1.Placement{
		{Name: singlePlacement, Pool: s.EnginePool, MaxReplicas: 1, EngineSlots: 16},
		{Name: spreadPlacement, Pool: s.EnginePool, MaxReplicas: 3, EngineSlots: 16},
	}
}

func (s Shape) service() *apiv1.Service {
	service := &apiv1.Service{Name: s.ServicePool, Pool: s.ServicePool, DefaultDeadlineMs: 10_000}
	for _, path := range s.RepeatableCalls {
		service.Repeatable = append(service.Repeatable, &apiv1.RepeatableCall{Method: "GET", PathPrefix: path})
	}
	return service
}

func (s Shape) modelName(i int) string {
	if i < len(s.ModelNames) {
		return s.ModelNames[i]
	}
	return fmt.Sprintf("model-%02d", i)
}

func (s Shape) model(i int) (*apiv1.Model, *apiv1.Version) {
	name := s.modelName(i)
	version := &apiv1.Version{
		Name:       name + "-v1",
		Model:      name,
		Checkpoint: "checkpoints/" + name + "/v1",
		MemoryMib:  uint32(modelMemoryMiB * (1 + i%modelMemorySteps)),
	}
	model := &apiv1.Model{
		Name:          name,
		Version:       version.GetName(),
		Placement:     singlePlacement,
		PriorityClass: normalClass,
		MaxQueue:      256,
	}
	if i%2 == 1 {
		model.Placement = spreadPlacement
	}
	return model, version
}

func (s Shape) adapter(i int) *apiv1.Adapter {
	model := s.modelName(i % s.Models)
	name := fmt.Sprintf("adapter-%03d", i)
	return &apiv1.Adapter{
		Name:       name,
		Model:      model,
		Checkpoint: "adapters/" + model + "/" + name,
		MemoryMib:  adapterMemoryMiB,
	}
}
