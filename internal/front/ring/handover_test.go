package ring_test

import (
	"os"
	"testing"
)

// Once another process may have the listeners, a process that shuts down must not unlink their paths.
func TestFrozenServerLeavesThePathAsItEnds(t *testing.T) {
	h := open(t, true)
	_, thaw, err := h.srv.Freeze()
	if err != nil {
		t.Fatal(err)
	}
	h.srv.StartDraining() // shut down between the message to the other process and the thaw
	_, err = os.Stat(h.path)
	if thaw(false); err != nil {
		t.Errorf("the path that the other process serves was removed: %v", err)
	}
}

func TestThawedServerTakesItsPathAwayAsItEnds(t *testing.T) {
	h := open(t, true)
	_, thaw, err := h.srv.Freeze()
	if err != nil {
		t.Fatal(err)
	}
	thaw(true)
	h.dial()
	h.srv.StartDraining()
	if _, err := os.Stat(h.path); err == nil {
		t.Error("the path was not removed")
	}
}
