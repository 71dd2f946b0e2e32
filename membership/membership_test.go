package membership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/membership"
)

const (
	place    = "bog-norte"
	interval = 500 * time.Millisecond
	// start is when newTable first hears from its members. It is not zero, since a time of zero means
	// that a member was never heard from.
	start = time.Second
)

func address(i int) string { return fmt.Sprintf("127.0.0.1:%d", 9000+i) }

// newTable returns a table that monitors count members and has heard from all of them at start.
func newTable(count int) *membership.Table {
	t := membership.New(membership.DefaultConfig())
	var addresses []string
	for i := range count {
		addresses = append(addresses, address(i))
	}
	t.Monitor(start, addresses)
	receiveFrom(t, start, addresses...)
	t.Tick(start)
	return t
}

func receiveFrom(t *membership.Table, now time.Duration, addresses ...string) {
	for _, a := range addresses {
		t.RecordHeartbeat(now, membership.Heartbeat{Address: a, Place: place, Incarnation: 2, Revision: 5})
	}
}

func wantState(t *testing.T, table *membership.Table, address string, want membership.State) {
	t.Helper()
	if m, _ := table.Member(address); m.State != want {
		t.Errorf("%s is %v, want %v", address, m.State, want)
	}
}

func TestSilentMemberIsSuspectedThenDead(t *testing.T) {
	config := membership.DefaultConfig()
	table := newTable(4)
	for now := start; now <= start+3*time.Second; now += interval {
		receiveFrom(table, now, address(0), address(1), address(2))
		table.Tick(now)
		want := membership.StateAlive
		if now-start > config.SuspectAfter {
			want = membership.StateSuspect
		}
		if now-start > config.DeadAfter {
			want = membership.StateDead
		}
		wantState(t, table, address(3), want)
		wantState(t, table, address(0), membership.StateAlive)
	}
	if usable := table.Usable(place); len(usable) != 3 {
		t.Errorf("usable members %v, want 3", usable)
	}
	receiveFrom(table, start+4*time.Second, address(3))
	wantState(t, table, address(3), membership.StateAlive)
}

func TestIsolatedProcessMarksNobodyDead(t *testing.T) {
	table := newTable(6)
	var result membership.TickResult
	for now := start; now <= start+5*time.Second; now += interval {
		receiveFrom(table, now, address(0), address(1))
		result = table.Tick(now)
	}
	if !result.Isolated || !table.Isolated() {
		t.Error("four of six members are silent, and the process does not count as isolated")
	}
	for i := range 6 {
		if m, _ := table.Member(address(i)); m.State == membership.StateDead {
			t.Errorf("%s is dead although the process is isolated", m.Address)
		}
	}
}

func TestPausedProcessSuspectsNobody(t *testing.T) {
	table := newTable(3)
	const pause = 20 * time.Second
	result := table.Tick(start + pause)
	if !result.Paused || result.Gap != pause {
		t.Fatalf("got %+v, want a pause of 20 s", result)
	}
	for i := range 3 {
		wantState(t, table, address(i), membership.StateAlive)
	}
	if result := table.Tick(start + pause + interval); result.Paused {
		t.Error("still paused after a tick on time")
	}
}

func TestOldIncarnationIsIgnored(t *testing.T) {
	table := newTable(1)
	if table.RecordHeartbeat(start+interval, membership.Heartbeat{Address: address(0), Incarnation: 1, Revision: 9}) {
		t.Error("accepted a heartbeat of an earlier incarnation")
	}
	if !table.RecordHeartbeat(start+interval, membership.Heartbeat{Address: address(0), Incarnation: 3, Revision: 1}) {
		t.Error("rejected a heartbeat of a later incarnation")
	}
	if m, _ := table.Member(address(0)); m.Revision != 1 || m.Incarnation != 3 {
		t.Errorf("got %+v, want incarnation 3 and revision 1", m)
	}
	table.RecordHeartbeat(start+2*interval, membership.Heartbeat{Address: address(0), Incarnation: 3, Revision: 0})
	if m, _ := table.Member(address(0)); m.Revision != 1 {
		t.Errorf("an older heartbeat changed the revision from 1 to %d", m.Revision)
	}
}

func TestListedLeavingMemberStaysLeaving(t *testing.T) {
	table := newTable(2)
	table.UpdateList(place, []membership.ListedVM{
		{Address: address(0), Place: place, Leaving: true},
		{Address: address(1), Place: place},
	})
	wantState(t, table, address(0), membership.StateLeaving)
	receiveFrom(table, start+interval, address(0), address(1))
	wantState(t, table, address(0), membership.StateLeaving)
	wantState(t, table, address(1), membership.StateAlive)
	table.UpdateList(place, []membership.ListedVM{{Address: address(0), Place: place}, {Address: address(1), Place: place}})
	receiveFrom(table, start+2*interval, address(0))
	wantState(t, table, address(0), membership.StateAlive)
}

func TestLaggingListKeepsHeardMember(t *testing.T) {
	table := newTable(2)
	table.UpdateList(place, []membership.ListedVM{{Address: address(1), Place: place}})
	wantState(t, table, address(0), membership.StateAlive)
	table.UpdateList(place, nil)
	if m, _ := table.Member(address(1)); !m.Listed {
		t.Error("an empty list cleared the listed members")
	}
}

func TestStoppedMemberIsDeadAtOnce(t *testing.T) {
	table := newTable(2)
	table.RecordHeartbeat(start+interval, membership.Heartbeat{Address: address(0), Place: place, Incarnation: 2, Stopped: true})
	wantState(t, table, address(0), membership.StateDead)
}

func Example() {
	table := membership.New(membership.DefaultConfig())
	table.UpdateList("waw-wola", []membership.ListedVM{{Name: "server-1", Place: "waw-wola", Address: "127.0.0.1:9001"}})
	table.Monitor(0, []string{"127.0.0.1:9001"})
	table.RecordHeartbeat(time.Second, membership.Heartbeat{Name: "server-1", Place: "waw-wola", Address: "127.0.0.1:9001", Incarnation: 1})
	for now := time.Second; now <= 4*time.Second; now += 500 * time.Millisecond {
		table.Tick(now)
	}
	member, _ := table.Member("127.0.0.1:9001")
	fmt.Println(member.Name, member.State, table.Usable("waw-wola"))
	// Output: server-1 dead []
}
