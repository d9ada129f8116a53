package bounds

import "appleplank/replay"

const (
	mebibyte = 1 << 20

	// runtimeMemory is what the runtime, the settings and the log take at rest, in bytes.
	runtimeMemory = 3 * mebibyte
	// listMemory is what the lists of discovery take while one is read, in bytes: two watches with the longest list each, and
	// the copies that a growing buffer leaves.
	listMemory = 3 * mebibyte
	// Of the memory, marginShare and marginMemory bytes stay unused.
	marginShare, marginMemory = 1.0 / 32, mebibyte
	// leastUsable is the part of the memory that is shared out at least, where the process at rest leaves less.
	leastUsable = 1.0 / 8

	// What the process at rest and the margin leave is shared out. garbageShare is for what was dropped and not collected
	// yet, and for what buffers take beside the bytes that are counted.
	clientShare, targetShare                                     = 0.20, 0.08
	bodyShare, copyShare, answerShare, unsentShare, transitShare = 0.12, 0.05, 0.11, 0.07, 0.016
	idShare, volumeShare                                         = 0.055, 0.09
	// cutShare of the memory for answers that are being sent is for those that were cut off and are not dropped yet, as in
	// package seats.
	cutShare     = 0.25
	garbageShare = 1 - clientShare - targetShare - bodyShare - copyShare - answerShare - (1+cutShare)*unsentShare - transitShare - idShare - volumeShare

	// A client's connection takes clientMemory bytes at most while nothing longer than a KiB is read or written on it, with
	// the stack of its coroutine and the entry of a held request; a target's takes targetMemory bytes.
	clientMemory, targetMemory = 10 << 10, 8 << 10
	// volumeMemory is what a volume that logic knows takes, in bytes.
	volumeMemory = 512
)

// Memory is the account of a process's memory, in bytes: each entry is what its part takes at its worst. Whoever reserves a
// part returns it when the buffer is dropped.
type Memory struct {
	Limit   int64
	Files   int64 // pages of the binary and of libraries
	Runtime int64
	Lists   int64 // lists of discovery
	Clients int64 // client connections, but for longer requests and answers
	Targets int64 // connections to targets, but for longer attempts and answers
	Bodies  int64 // buffers that requests are read into, until they are answered
	Copies  int64 // requests of attempts until they are written
	Answers int64 // answers that are being received
	Unsent  int64 // answers that are being sent
	Cut     int64 // answers that were cut off and are not dropped yet
	Transit int64 // answers that the clients' systems take
	IDs     int64 // ids of requests that may have run
	Volumes int64
	Garbage int64 // what was dropped and is not collected yet
	Margin  int64
}

// shareMemory returns the account for a limit and the pages of files that the process uses, both in bytes.
func shareMemory(limit, files float64) Memory {
	margin := marginShare*limit + marginMemory
	usable := max(limit-files-runtimeMemory-listMemory-margin, leastUsable*limit)
	share := func(part float64) int64 { return int64(part * usable) }
	return Memory{
		Limit: int64(limit), Files: int64(files), Runtime: runtimeMemory, Lists: listMemory, Margin: int64(margin),
		Clients: share(clientShare), Targets: share(targetShare),
		Bodies: share(bodyShare), Copies: share(copyShare), Answers: share(answerShare),
		Unsent: share(unsentShare), Cut: share(cutShare * unsentShare), Transit: share(transitShare),
		IDs: share(idShare), Volumes: share(volumeShare), Garbage: share(garbageShare),
	}
}

// Sum returns what all parts take together at their worst.
func (m Memory) Sum() int64 {
	return m.Files + m.Runtime + m.Lists + m.Clients + m.Targets + m.Bodies + m.Copies + m.Answers + m.Unsent + m.Cut + m.Transit + m.IDs + m.Volumes + m.Garbage + m.Margin
}

// Heap returns the limit for what the runtime takes from the system, which collects garbage more often near it.
func (m Memory) Heap() int64 {
	return max(m.Limit-m.Files-m.Margin, m.Limit/2)
}

// rememberedIDs returns the number of ids that fit the account.
func (m Memory) rememberedIDs() int { return int(m.IDs / replay.EntrySize) }
