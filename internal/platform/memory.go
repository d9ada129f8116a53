package platform

import (
	"bytes"
	"errors"
	"os"
	"runtime"
	"strconv"
	"time"

	"appleplank/bounds"

	"go.uber.org/zap"
)

// memoryCheckInterval is the interval at which the memory of the process is compared with its limit.
const memoryCheckInterval = time.Second

// residentMemory is what a process has in memory, in bytes (see proc_pid_statm(5)).
type residentMemory struct {
	All   int64
	Files int64 // pages of the binary and of libraries
}

var errStatm = errors.New("/proc/self/statm cannot be read")

// readResidentMemory returns what this process has in memory.
func readResidentMemory() (residentMemory, error) {
	const residentField, sharedField = 1, 2 // in pages
	line, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return residentMemory{}, err
	}
	fields := bytes.Fields(line)
	if len(fields) <= sharedField {
		return residentMemory{}, errStatm
	}
	pages := func(field int) (int64, error) { return strconv.ParseInt(string(fields[field]), 10, 64) }
	resident, err := pages(residentField)
	if err != nil {
		return residentMemory{}, err
	}
	shared, err := pages(sharedField)
	if err != nil {
		return residentMemory{}, err
	}
	pageSize := int64(os.Getpagesize())
	return residentMemory{All: resident * pageSize, Files: shared * pageSize}, nil
}

// memoryMonitor logs when the process comes close to its memory, and what takes it.
type memoryMonitor struct {
	account bounds.Memory
	log     *zap.Logger
	most    int64 // bytes that were seen in memory at once
	near    bool
}

// check compares the memory of the process with its account. It logs when the margin is touched, and when it is free again.
func (m *memoryMonitor) check(held func() []zap.Field) {
	resident, err := readResidentMemory()
	if err != nil {
		return
	}
	m.most = max(m.most, resident.All)
	near := resident.All > m.account.Limit-m.account.Margin
	if near == m.near {
		return
	}
	m.near = near
	if !near {
		m.log.Info("the memory is not short any more", zap.Int64("resident", resident.All))
		return
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	fields := []zap.Field{
		zap.Int64("resident", resident.All), zap.Int64("files", resident.Files), zap.Int64("limit", m.account.Limit),
		zap.Uint64("heap in use", stats.HeapInuse), zap.Uint64("heap live", stats.HeapAlloc), zap.Uint64("stacks", stats.StackInuse),
		zap.Uint64("from the system", stats.Sys-stats.HeapReleased), zap.Uint32("collections", stats.NumGC),
	}
	m.log.Warn("the memory is short", append(fields, held()...)...)
}
