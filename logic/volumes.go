package logic

// The volumes that a host knows, their queues, and when a volume is forgotten. The interface of this module
// is in logic/api.go.

import (
	"cmp"
	"slices"
)

const (
	// The entry of a volume idle for longer than maxVolumeIdle is dropped; where there are more than
	// maxScannedVolumes, idleScanInterval later at most.
	maxVolumeIdle     = 30 * sec
	maxScannedVolumes = 1024
	idleScanInterval  = 1 * sec
	// maxEmptyQueues is the number of shards of one volume whose empty queues are kept.
	maxEmptyQueues = 64
)

// volumeFor returns the entry of the volume of a request, a new one if there is none.
func (h *Host) volumeFor(e Arrival) *volume {
	attached := e.Attached
	if !(attached >= 1 && attached <= maxFleetGrowth*float64(h.settings.Hosts)) {
		attached = float64(h.settings.Hosts)
	}
	v := h.volumes[e.Volume]
	if v == nil {
		plan := &Plan{}
		if e.Plan >= 0 && e.Plan < len(h.settings.Plans) {
			plan = &h.settings.Plans[e.Plan]
		}
		v = &volume{id: e.Volume, plan: plan, attached: attached, creditedAt: h.now,
			virtualTime: h.virtualTime}
		// To keep the limit, the bucket starts at its lowest level at the time this host started: what was
		// drawn before a restart is unknown. The bucket of an entry that was dropped as idle was full, and
		// this computation makes it full again.
		v.tokens, v.tokensAt = -plan.LimitSlack/attached, h.startedAt
		h.addVolume(v)
	}
	v.attached = max(v.attached, attached)
	return v
}

// enqueue appends a request to the queue of its shard in its volume.
func (h *Host) enqueue(r *request) {
	v := r.vol
	if v.queueLength == 0 {
		if v.balance < 0 {
			v.balance = min(v.balance+h.reservation(v)*seconds(h.now-v.creditedAt), 0)
		}
		v.creditedAt = h.now
		v.virtualTime = max(v.virtualTime, h.virtualTime)
	}
	if v.push(r); v.queueLength == 1 {
		h.queued, h.queuedSorted = append(h.queued, v), false
	}
}

// addVolume adds a volume that the host does not know.
func (h *Host) addVolume(v *volume) {
	v.position = len(h.roundRobin)
	h.volumes[v.id] = v
	h.roundRobin = append(h.roundRobin, v)
}

// push appends a request to the queue of its shard.
func (v *volume) push(r *request) {
	i := slices.IndexFunc(v.queues, func(l *cellQueue) bool { return l.cell == r.cell })
	if i < 0 {
		i = len(v.queues)
		v.queues = append(v.queues, &cellQueue{cell: r.cell})
	}
	v.queues[i].requests = append(v.queues[i].requests, r)
	v.queueLength++
	r.queued = true
}

// dequeue removes a request from its queue, if it is in one.
func (h *Host) dequeue(r *request) {
	if !r.queued {
		return
	}
	r.queued = false
	r.vol.pull(r)
	if r.vol.queueLength == 0 {
		h.queued = slices.DeleteFunc(h.queued, func(v *volume) bool { return v == r.vol })
	}
}

// pull removes a queued request from the queue of its shard.
func (v *volume) pull(r *request) {
	v.queueLength--
	for i, l := range v.queues {
		at := slices.Index(l.requests, r)
		if at < 0 {
			continue
		}
		l.requests = slices.Delete(l.requests, at, at+1)
		if len(l.requests) == 0 && len(v.queues) > maxEmptyQueues {
			v.queues = slices.Delete(v.queues, i, i+1)
		}
		return
	}
}

func (v *volume) comparePosition(position int) int { return cmp.Compare(v.position, position) }

// queuedVolumes returns the volumes with queued requests, in order of creation. The result is valid until a
// request is queued or removed from a queue.
func (h *Host) queuedVolumes() []*volume {
	if !h.queuedSorted {
		slices.SortFunc(h.queued, func(a, b *volume) int { return a.comparePosition(b.position) })
		h.queuedSorted = true
	}
	return h.queued
}

// queuedFrom returns the volumes with queued requests in the order of a round that begins rotation volumes
// after the first one that the host knows.
func (h *Host) queuedFrom(rotation int) []*volume {
	if len(h.queued) == 0 {
		return nil
	}
	first := rotation % len(h.roundRobin)
	queued := h.queuedVolumes()
	split, _ := slices.BinarySearchFunc(queued, first, (*volume).comparePosition)
	h.cycleOrder = append(append(h.cycleOrder[:0], queued[split:]...), queued[:split]...)
	return h.cycleOrder
}

// dropIdleVolumes drops the entries of volumes idle for longer than maxVolumeIdle, or for a shorter time
// where more than MaxVolumes are known. A volume with a limit is kept until its bucket is full, which is what
// a new entry amounts to.
func (h *Host) dropIdleVolumes() {
	if len(h.roundRobin) > maxScannedVolumes && h.now < h.nextIdleScan {
		return
	}
	h.nextIdleScan = h.now + idleScanInterval
	longest := h.longestIdle()
	keep := h.roundRobin[:0]
	for _, v := range h.roundRobin {
		if h.idleTime(v) > longest && (v.plan.Limit <= 0 || h.bucketFull(v)) {
			delete(h.volumes, v.id)
			continue
		}
		v.position = len(keep)
		keep = append(keep, v)
	}
	clear(h.roundRobin[len(keep):])
	h.roundRobin = keep
}

// idleTime returns how long a volume has been idle; 0 while it has requests.
func (h *Host) idleTime(v *volume) Micros {
	if v.liveRequests > 0 {
		return 0
	}
	return h.now - v.lastUsed
}

// longestIdle returns the idle time from which on volumes are dropped: maxVolumeIdle, or as many
// idleScanIntervals, one at least, as leave MaxVolumes known.
func (h *Host) longestIdle() Micros {
	excess := len(h.roundRobin) - h.settings.MaxVolumes
	if h.settings.MaxVolumes == 0 || excess <= 0 {
		return maxVolumeIdle
	}
	const intervals = int(maxVolumeIdle / idleScanInterval)
	var idleFor [intervals + 1]int // volumes by idle time in whole intervals
	for _, v := range h.roundRobin {
		idleFor[min(int(h.idleTime(v)/idleScanInterval), intervals)]++
	}
	longest := intervals
	for excess -= idleFor[longest]; excess > 0 && longest > 1; excess -= idleFor[longest] {
		longest--
	}
	return Micros(longest) * idleScanInterval
}
