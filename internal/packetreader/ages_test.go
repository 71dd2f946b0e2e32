package packetreader

import (
	"testing"
	"time"

	"golang.org/x/net/ipv4"
)

const ms = time.Millisecond

// batchAt returns a batch of n datagrams that were read at a time.
func batchAt(source, n int, at time.Duration) *Batch {
	return &Batch{Source: source, Messages: make([]ipv4.Message, n), ReadAt: at}
}

// turns records the turns of a loop that runs every 20 ms.
func turns(a *Ages, from, to time.Duration) {
	for now := from; now <= to; now += 20 * ms {
		a.Turn(now)
	}
}

func wantAge(t *testing.T, a *Ages, now time.Duration, batch *Batch, want time.Duration) {
	t.Helper()
	a.Turn(now)
	if got := a.Age(now, batch); got != want {
		t.Fatalf("at %v: got the age %v, want %v", now, got, want)
	}
}

func TestDatagramsOfAnIdleSocketAreFresh(t *testing.T) {
	var a Ages
	turns(&a, 10*ms, 5000*ms)
	wantAge(t, &a, 5001*ms, batchAt(0, 3, 5001*ms), 0)
}

// TestBacklogOfAPauseIsOld guards against packets that were sent before or during a pause of the process and pass as
// fresh.
func TestBacklogOfAPauseIsOld(t *testing.T) {
	var a Ages
	turns(&a, 10*ms, 1010*ms)
	// One batch was read before the pause, and the others wait in the sockets until its end.
	wantAge(t, &a, 4000*ms, batchAt(0, 1, 1012*ms), 2990*ms)
	wantAge(t, &a, 4000*ms, batchAt(0, BatchSize, 4000*ms), 2990*ms)
	wantAge(t, &a, 4003*ms, batchAt(0, 5, 4002*ms), 2993*ms)
	wantAge(t, &a, 4010*ms, batchAt(0, 2, 4010*ms), 0)
	// The other socket has a backlog of its own.
	wantAge(t, &a, 4011*ms, batchAt(1, 2, 4011*ms), 3001*ms)
	wantAge(t, &a, 4012*ms, batchAt(1, 2, 4012*ms), 0)
}

func TestPauseIsFoundByThePeriodicWorkToo(t *testing.T) {
	var a Ages
	turns(&a, 10*ms, 1010*ms)
	if paused := a.Turn(3000 * ms); paused != 1990*ms {
		t.Fatalf("got a pause of %v", paused)
	}
	wantAge(t, &a, 3001*ms, batchAt(0, 2, 2999*ms), 1991*ms)
	wantAge(t, &a, 3020*ms, batchAt(0, 2, 3019*ms), 0)
}

// TestSocketThatWasQuietAfterAPauseHasNoBacklog guards against a fresh packet that counts as one from before a pause, because
// it is the first on its socket since then. A balancer refused the opening packet of such a flow.
func TestSocketThatWasQuietAfterAPauseHasNoBacklog(t *testing.T) {
	var a Ages
	turns(&a, 10*ms, 1010*ms)
	turns(&a, 1310*ms, 3310*ms)
	wantAge(t, &a, 3320*ms, batchAt(0, 1, 3320*ms), 0)
	wantAge(t, &a, 3321*ms, batchAt(1, BatchSize, 3321*ms), 0)
}

// TestBacklogOfASecondPauseIsAsOldAsThatPause guards against packets that count as older than the latest pause, because nothing
// arrived between that and an earlier one.
func TestBacklogOfASecondPauseIsAsOldAsThatPause(t *testing.T) {
	var a Ages
	turns(&a, 10*ms, 1010*ms)
	turns(&a, 1310*ms, 3310*ms)
	wantAge(t, &a, 3530*ms, batchAt(0, 2, 3530*ms), 220*ms)
	wantAge(t, &a, 3540*ms, batchAt(0, 1, 3540*ms), 0)
}

// TestBacklogOfPausesInARowIsAsOldAsTheFirst guards against a backlog that counts as younger than it is, because the process did
// not run for long enough to read it between two pauses.
func TestBacklogOfPausesInARowIsAsOldAsTheFirst(t *testing.T) {
	var a Ages
	turns(&a, 10*ms, 1010*ms)
	turns(&a, 2010*ms, 2090*ms)
	wantAge(t, &a, 3090*ms, batchAt(0, 2, 3090*ms), 2080*ms)
}

// TestBacklogOfAPauseIsOldUntilTheSocketWasEmpty guards against a backlog that counts as fresh because it was read some time
// after the pause, or handled long after it was read.
func TestBacklogOfAPauseIsOldUntilTheSocketWasEmpty(t *testing.T) {
	var a Ages
	turns(&a, 10*ms, 1010*ms)
	turns(&a, 1510*ms, 1690*ms)
	wantAge(t, &a, 1700*ms, batchAt(0, 3, 1700*ms), 690*ms)
	turns(&a, 1710*ms, 2010*ms)
	wantAge(t, &a, 2020*ms, batchAt(1, 3, 1650*ms), 1010*ms)
}

// TestSocketThatWasQuietAfterAFullBatchHasNoBacklog guards against a fresh packet that counts as one from the time of a full
// batch, because the batch has emptied the socket and nothing arrived since.
func TestSocketThatWasQuietAfterAFullBatchHasNoBacklog(t *testing.T) {
	var a Ages
	turns(&a, 10*ms, 1010*ms)
	wantAge(t, &a, 1011*ms, batchAt(0, BatchSize, 1011*ms), 0)
	turns(&a, 1030*ms, 4010*ms)
	wantAge(t, &a, 4011*ms, batchAt(0, 1, 4011*ms), 0)
}

// TestShortStallsAreUsual covers VMs that get no processor time for the rest of a tenth of a second.
func TestShortStallsAreUsual(t *testing.T) {
	var a Ages
	turns(&a, 10*ms, 1010*ms)
	wantAge(t, &a, 1170*ms, batchAt(0, BatchSize, 1165*ms), 0)
}

// TestOverloadedProcessKnowsItsBacklog covers a process that never empties its socket for some time.
func TestOverloadedProcessKnowsItsBacklog(t *testing.T) {
	var a Ages
	a.Turn(1000 * ms)
	for now := 1000 * ms; now <= 1200*ms; now += 10 * ms {
		wantAge(t, &a, now, batchAt(0, BatchSize, now), 0)
	}
	wantAge(t, &a, 1300*ms, batchAt(0, BatchSize, 1299*ms), 300*ms)
	wantAge(t, &a, 1310*ms, batchAt(0, 7, 1310*ms), 310*ms)
	wantAge(t, &a, 1320*ms, batchAt(0, BatchSize, 1320*ms), 0)
}
