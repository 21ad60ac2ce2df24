package settings

import "testing"

func TestReferenceExplainsEveryField(t *testing.T) {
	for _, kind := range Kinds() {
		shape, texts := kindTypes[kind], fieldTexts[kind]
		if kindTexts[kind] == "" {
			t.Errorf("got no text for %s, want one", kind)
		}
		if got, want := len(texts), shape.NumField(); got != want {
			t.Errorf("got %d texts for the fields of %s, want %d", got, kind, want)
		}
		for i := range shape.NumField() {
			if name := shape.Field(i).Name; texts[name] == "" {
				t.Errorf("got no text for %s of %s, want one", name, kind)
			}
		}
	}
}
