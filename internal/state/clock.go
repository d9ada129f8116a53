package state

import (
	"os"
	"strings"
	"sync"
	"time"

	"appleplank/logic"
	"appleplank/recall"

	"golang.org/x/sys/unix"
)

var bootID = sync.OnceValue(func() string {
	b, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(b))
})

// Now returns the time since boot with the boot's ID, and the wall clock. Boot is "" if the time since boot cannot be
// read.
func Now() recall.Stamp {
	s := recall.Stamp{Boot: bootID(), Wall: logic.Micros(time.Now().UnixMicro())}
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) == nil {
		s.Since = logic.Micros(t.Nano() / 1000)
	} else {
		s.Boot = ""
	}
	return s
}
