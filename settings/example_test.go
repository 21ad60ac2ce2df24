package settings_test

import (
	"encoding/json"
	"fmt"

	"github.com/hickoryhead/hickoryhead/settings"
)

func ExampleApply() {
	change := settings.Change{
		ID:   "change-1",
		Team: "beaudoin",
		Values: map[settings.Path]json.RawMessage{
			"/Teams/beaudoin/Priorities/shelf": json.RawMessage(`{"Mark": 1}`),
			"/Teams/beaudoin/Routes/signage":   json.RawMessage(`{"Model": "signage-3b@2", "Priority": "shelf"}`),
		},
	}
	first, err := settings.Apply(nil, change)
	fmt.Println(first.Revision, err)
	_, err = settings.Apply(first, change)
	fmt.Println(err)
	// Output:
	// 1 <nil>
	// HH4002 The revision has moved on: the change is based on revision 0, but team beaudoin is at revision 1
}

func ExampleView_Adopt() {
	newer, older := &settings.Subtree{Team: "beaudoin", Revision: 7}, &settings.Subtree{Team: "beaudoin", Revision: 6}
	var view *settings.View
	view, adopted := view.Adopt(newer)
	fmt.Println(view.Revision("beaudoin"), adopted)
	view, adopted = view.Adopt(older)
	fmt.Println(view.Revision("beaudoin"), adopted)
	// Output:
	// 7 true
	// 7 false
}
