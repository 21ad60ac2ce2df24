package settings

import "testing"

func TestReferenceExplainsEveryField(t *testing.T) {
	for _, kind := range Kinds() {
		structType, descriptions := kindTypes[kind], fieldDescriptions[kind]
		if kindDescriptions[kind] == "" {
			t.Errorf("got no description of kind %s, want one", kind)
		}
		if got, want := len(descriptions), structType.NumField(); got != want {
			t.Errorf("got %d descriptions of fields of %s, want %d", got, kind, want)
		}
		for i := range structType.NumField() {
			if name := structType.Field(i).Name; descriptions[name] == "" {
				t.Errorf("got no description of field %s of %s, want one", name, kind)
			}
		}
	}
}
