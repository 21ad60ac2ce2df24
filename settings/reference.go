package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// kindTypes holds the type of each kind.
var kindTypes = map[Kind]reflect.Type{
	KindRoute:     reflect.TypeFor[Route](),
	KindWorkspace: reflect.TypeFor[Workspace](),
	KindPriority:  reflect.TypeFor[PriorityClass](),
	KindPlacement: reflect.TypeFor[Placement](),
}

var kindTexts = map[Kind]string{
	KindRoute:     "Says where the requests of a route go. Callers reach it at /v1/teams/{team}/routes/{name}/requests.",
	KindWorkspace: "One customer workspace of the team.",
	KindPriority:  "One priority class of the team. A class with a lower mark leaves room for those above it.",
	KindPlacement: "How many upstreams shall hold a model.",
}

var fieldTexts = map[Kind]map[string]string{
	KindRoute: {
		"Model":        "The model and its version, such as planogram-7b@3. Exactly one of Model and Service is set.",
		"Service":      "The plain service.",
		"Operation":    "The operation of the service.",
		"Idempotent":   "Whether a request may run more than once. A request of a route that is not idempotent needs an Idempotency-Key.",
		"LoadMultiple": "The bound of an upstream's load, as a multiple of its pool's mean; without it 1.25. The lowest of the routes to a model counts.",
		"IgnoreHint":   "Places chats without regard to where they were served last.",
		"Priority":     "The priority class of a request that names none. It must be one of the team's Priorities.",
		"TimeoutMs":    "Milliseconds from the arrival of a request to its last byte; without it 60000.",
		"MaxBodyBytes": "The longest request body in bytes; without it 1048576.",
	},
	KindWorkspace: {
		"Weight": "Its share of a contended upstream, against the weights of the others; without it 1.",
	},
	KindPriority: {
		"Mark": "The share of an upstream's bound that requests of this class may fill.",
	},
	KindPlacement: {
		"Model":    "The model and its version.",
		"Replicas": "The number of upstreams that shall hold it.",
	},
}

// Reference returns the page docs/SETTINGS.md, made from the types.
func Reference() string {
	var page strings.Builder
	page.WriteString("# Settings of a team\n\n")
	page.WriteString("This page is made from the types in package settings by `.ci/pages`. How to change settings stands in [CHANGING-SETTINGS.md](CHANGING-SETTINGS.md).\n\n")
	page.WriteString("A setting has the path `/Teams/<team>/<kind>/<name>` and a JSON object as its value. Keys are written exactly as below, each at most once; unknown keys are refused. A field that is left out has its default.\n\n")
	for _, kind := range Kinds() {
		writeKind(&page, kind)
	}
	writeLimits(&page)
	return page.String()
}

func writeKind(page *strings.Builder, kind Kind) {
	fmt.Fprintf(page, "## %s\n\n%s\n\n", kind, kindTexts[kind])
	page.WriteString("| field | value | allowed | meaning |\n| --- | --- | --- | --- |\n")
	shape := kindTypes[kind]
	for i := range shape.NumField() {
		field := shape.Field(i)
		fmt.Fprintf(page, "| %s | %s | %s | %s |\n", field.Name, jsonType(field.Type), allowedValues(field), fieldTexts[kind][field.Name])
	}
	page.WriteString("\n")
}

// allowedValues says in words what the validation tag of field allows.
func allowedValues(field reflect.StructField) string {
	var parts []string
	for rule := range strings.SplitSeq(field.Tag.Get("validate"), ",") {
		tag, param, _ := strings.Cut(rule, "=")
		if tag != "" && tag != "omitempty" {
			parts = append(parts, allowed(tag, param))
		}
	}
	if len(parts) == 0 {
		return "any"
	}
	return strings.Join(parts, "; ")
}

func writeLimits(page *strings.Builder) {
	page.WriteString("## Limits\n\n| limit | value |\n| --- | --- |\n")
	limits := []struct {
		text  string
		value int64
	}{
		{"settings of one team", MaxSettings},
		{"paths of one change", MaxChangeValues},
		{"bytes of the values of one change", int64(MaxChangeBytes)},
		{"bytes of one value", int64(MaxValueBytes)},
		{"bytes of an author's name or of a reason", MaxTextBytes},
	}
	for _, limit := range limits {
		fmt.Fprintf(page, "| %s | %d |\n", limit.text, limit.value)
	}
}
