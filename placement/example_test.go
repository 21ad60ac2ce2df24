package placement_test

import (
	"fmt"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/placement"
)

func ExampleNew() {
	engines := []placement.Engine{
		{Upstream: "engine-1", Zone: "qc-est-a", Model: "planogram-7b@3"},
		{Upstream: "engine-2", Zone: "qc-est-b", Model: "planogram-7b@3"},
		{Upstream: "engine-3", Zone: "qc-est-c", Model: "signage-3b@2"},
	}
	plan := placement.New(map[ident.ModelName]int{"planogram-7b@3": 1, "signage-3b@2": 2}, engines)
	fmt.Println(plan.Moves)
	// Output:
	// [{engine-1 planogram-7b@3 signage-3b@2}]
}
