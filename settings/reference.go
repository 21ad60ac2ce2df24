package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// kindTypes maps each kind to the Go type of its settings.
var kindTypes = map[Kind]reflect.Type{
	KindRoute:     reflect.TypeFor[Route](),
	KindWorkspace: reflect.TypeFor[Workspace](),
	KindPriority:  reflect.TypeFor[PriorityClass](),
	KindPlacement: reflect.TypeFor[Placement](),
}

var kindDescriptions = map[Kind]string{
	KindRoute:     "Defines where the requests of a route go. Callers reach it at /v1/teams/{team}/routes/{name}/requests.",
	KindWorkspace: "One customer workspace of the team.",
	KindPriority:  "One priority class of the team. Requests of a class with a lower mark leave capacity for classes with a higher mark.",
	KindPlacement: "The number of upstreams that keep a model loaded.",
}

var fieldDescriptions = map[Kind]map[string]string{
	KindRoute: {
		"Model":        "The model and its version, such as planogram-7b@3. Exactly one of Model and Service must be set.",
		"Service":      "The service that handles the requests, on a route without a model.",
		"Operation":    "The operation of the service.",
		"Idempotent":   "Whether a request may run more than once. A request of a route that is not idempotent must have an Idempotency-Key.",
		"LoadMultiple": "The maximum load of an upstream, as a multiple of the mean load of its pool; the default is 1.25. If several routes use a model, the lowest value applies.",
		"IgnoreHint":   "Whether requests of a chat are routed regardless of which upstream served the chat before.",
		"Priority":     "The priority class of a request that does not name one. It must be one of the team's Priorities.",
		"TimeoutMs":    "The maximum time in milliseconds from the arrival of a request to the last byte of its answer; the default is 60000.",
		"MaxBodyBytes": "The maximum size of a request body in bytes; the default is 1048576.",
	},
	KindWorkspace: {
		"Weight": "The workspace's share of a contended upstream, relative to the weights of the other workspaces; the default is 1.",
	},
	KindPriority: {
		"Mark": "The share of an upstream's limit that requests of this class may use.",
	},
	KindPlacement: {
		"Model":    "The model and its version.",
		"Replicas": "The number of upstreams that keep the model loaded.",
	},
}

// Reference returns the text of docs/SETTINGS.md, which is generated from the
// types of the settings and their validation tags.
func Reference() string {
	var page strings.Builder
	page.WriteString("# Settings of a team\n\n")
	page.WriteString("This page is generated from the types in package settings by `.ci/pages`. How to change settings is described in [CHANGING-SETTINGS.md](CHANGING-SETTINGS.md).\n\n")
	page.WriteString("A setting has the path `/Teams/<team>/<kind>/<name>` and a JSON object as its value. Keys must be written exactly as below, each at most once; unknown keys are refused. A field that is left out has its default value.\n\n")
	for _, kind := range Kinds() {
		writeKind(&page, kind)
	}
	writeLimits(&page)
	return page.String()
}

func writeKind(page *strings.Builder, kind Kind) {
	fmt.Fprintf(page, "## %s\n\n%s\n\n", kind, kindDescriptions[kind])
	page.WriteString("| field | value | allowed | meaning |\n| --- | --- | --- | --- |\n")
	structType := kindTypes[kind]
	for i := range structType.NumField() {
		field := structType.Field(i)
		fmt.Fprintf(page, "| %s | %s | %s | %s |\n", field.Name, jsonType(field.Type), allowedValues(field), fieldDescriptions[kind][field.Name])
	}
	page.WriteString("\n")
}

// allowedValues describes the values that the validation tag of field allows.
func allowedValues(field reflect.StructField) string {
	var parts []string
	for rule := range strings.SplitSeq(field.Tag.Get("validate"), ",") {
		tag, param, _ := strings.Cut(rule, "=")
		if tag != "" && tag != "omitempty" {
			parts = append(parts, describeRule(tag, param))
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
		{"maximum number of settings of one team", MaxSettings},
		{"maximum number of paths in one change", MaxChangeValues},
		{"maximum total size of the values in one change, in bytes", int64(MaxChangeBytes)},
		{"maximum size of one value, in bytes", int64(MaxValueBytes)},
		{"maximum size of an author's name and of a reason, in bytes", MaxTextBytes},
	}
	for _, limit := range limits {
		fmt.Fprintf(page, "| %s | %d |\n", limit.text, limit.value)
	}
}
