package ring_test

import (
	"os"
	"testing"
)

// Once another process may have the listeners, one that ends must not take their path away from it.
func TestFrozenServerLeavesThePathAsItEnds(t *testing.T) {
	h := open(t, true)
	_, thaw, err := h.srv.Freeze()
	if err != nil {
		t.Fatal(err)
	}
	h.srv.StopTaking() // told to end, in the moment between the word to the other process and the thaw
	_, err = os.Stat(h.path)
	if thaw(false); err != nil {
		t.Errorf("the path that the other process serves is gone: %v", err)
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
	h.srv.StopTaking()
	if _, err := os.Stat(h.path); err == nil {
		t.Error("the path is left behind")
	}
}
