package config

import (
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Kinds of objects. The values are the field names of an object set.
const (
	KindModels          = "models"
	KindVersions        = "versions"
	KindAdapters        = "adapters"
	KindPlacements      = "placements"
	KindPriorityClasses = "priority_classes"
	KindServices        = "services"
	KindDeployment      = "deployment"
)

// Object is one object of a set.
type Object struct {
	// Kind is one of the Kind constants.
	Kind string
	// Name is unique within the kind. The name of an adapter is "MODEL:ADAPTER".
	Name    string
	Message proto.Message
}

// Objects lists the objects of a set, grouped by kind, with the deployment last.
func Objects(set *apiv1.ObjectSet) []Object {
	var all []Object
	for _, m := range set.GetModels() {
		all = append(all, Object{KindModels, m.GetName(), m})
	}
	for _, v := range set.GetVersions() {
		all = append(all, Object{KindVersions, v.GetName(), v})
	}
	for _, a := range set.GetAdapters() {
		all = append(all, Object{KindAdapters, adapterLabel(a), a})
	}
	for _, p := range set.GetPlacements() {
		all = append(all, Object{KindPlacements, p.GetName(), p})
	}
	for _, c := range set.GetPriorityClasses() {
		all = append(all, Object{KindPriorityClasses, c.GetName(), c})
	}
	for _, s := range set.GetServices() {
		all = append(all, Object{KindServices, s.GetName(), s})
	}
	if d := set.GetDeployment(); d != nil {
		all = append(all, Object{KindDeployment, d.GetName(), d})
	}
	return all
}

// adapterLabel returns "MODEL:ADAPTER", or "" for an adapter without a name.
func adapterLabel(a *apiv1.Adapter) string {
	if a.GetName() == "" {
		return ""
	}
	return a.GetModel() + ":" + a.GetName()
}
