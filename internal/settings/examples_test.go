package settings

import (
	"path/filepath"
	"testing"
)

// Every example script that ships with the project loads unchanged.
func TestExamples(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*.star")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	for _, p := range paths {
		if _, err := Load(p); err != nil {
			t.Error(err)
		}
	}
}
